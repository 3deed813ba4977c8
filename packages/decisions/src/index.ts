export * from './PoolScheduler.ts';
