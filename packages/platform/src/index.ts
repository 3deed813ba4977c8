export * from './ObjectStore.ts';
export * from './HostRegistry.ts';
export * from './HttpObjectStore.ts';
export * from './CallBudget.ts';
export * from './BudgetedStore.ts';
export * from './Backoff.ts';
