export * from './AnswerFlow.ts';
export * from './CallerBackend.ts';
export * from './CallerServer.ts';
export * from './http/HeldBody.ts';
export * from './http/refusalStatus.ts';
export * from './http/requestSyntax.ts';
