export * from './ModelEngine.ts';
