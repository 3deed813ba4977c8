export * from './HostHint.ts';
export * from './HintSocket.ts';
