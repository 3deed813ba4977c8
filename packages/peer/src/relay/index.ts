export * from './HttpRelayLink.ts';
export * from './RelayLink.ts';
export * from './RelayServer.ts';
