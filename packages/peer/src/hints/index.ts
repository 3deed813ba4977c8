export * from './HostDigest.ts';
export * from './HostHint.ts';
export * from './HintSocket.ts';
