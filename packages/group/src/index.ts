export * from './membership/index.ts';
export * from './explore/ExploredProtocol.ts';
export * from './explore/search.ts';
export * from './shares/index.ts';
