export * from './groups/index.ts';
export * from './membership/index.ts';
