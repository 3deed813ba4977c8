export * from './PeerLink.ts';
export * from './grpc/index.ts';
