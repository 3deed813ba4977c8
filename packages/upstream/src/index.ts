export * from './ModelEngine.ts';
export * from './ProgressDeadline.ts';
export * from './HttpModelEngine.ts';
export * from './HttpPlainServer.ts';
