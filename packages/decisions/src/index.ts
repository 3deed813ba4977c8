export * from './PoolScheduler.ts';
export * from './FairPoolScheduler.ts';
export * from './admit/QueueLimits.ts';
export * from './service/ServiceGate.ts';
export * from './structures/IndexedHeap.ts';
