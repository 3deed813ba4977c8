export * from './HostDigest.ts';
export * from './HostHint.ts';
export * from './HintSocket.ts';
export * from './hintParts.ts';
