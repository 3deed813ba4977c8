export * from './language/parseScenario.ts';
export * from './language/readScenario.ts';
export * from './language/scenarioSchema.ts';
export * from './report.ts';
export * from './runScenario.ts';
export * from './subject/Subject.ts';
export * from './subject/routerSubject.ts';
