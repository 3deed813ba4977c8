export * from './GroupPlan.ts';
export * from './planGroups.ts';
