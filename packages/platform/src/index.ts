export * from './ObjectStore.ts';
