export * from './groups/index.ts';
export * from './membership/index.ts';
export * from './shares/index.ts';
