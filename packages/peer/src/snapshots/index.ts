export * from './HttpSnapshotExchange.ts';
export * from './SnapshotExchange.ts';
