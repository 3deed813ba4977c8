export * from './ModelEngine.ts';
export * from './readBody.ts';
export * from './ProgressDeadline.ts';
export * from './HttpModelEngine.ts';
export * from './HttpPlainServer.ts';
export * from './decodeStream.ts';
export * from './upstreamErrors.ts';
export * from './DedicatedConnection.ts';
export type { UpstreamCall } from './UpstreamConnections.ts';
