export * from './PeerLink.ts';
export * from './grpc/index.ts';
export * from './shares/index.ts';
export { GROUP_KIND } from './group/GroupRecordStore.ts';
export * from './group/GroupRunner.ts';
