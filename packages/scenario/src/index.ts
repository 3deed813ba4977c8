export * from './language/parseScenario.ts';
export * from './language/scenarioSchema.ts';
export * from './report.ts';
export * from './runScenario.ts';
export * from './subject/Subject.ts';
