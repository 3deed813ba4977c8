export * from './ShareProtocol.ts';
export * from './ShareWorld.ts';
export * from './worlds.ts';
