export * from './FleetCredential.ts';
export * from './GrpcPeerLink.ts';
export * from './GrpcPeerServer.ts';
export * from './PeerChannel.ts';
export * from './PeerTls.ts';
export * from './peerProtocol.ts';
export * from './wireSize.ts';
