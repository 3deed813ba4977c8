export * from './host/Host.ts';
export * from './coordination/GroupCoordination.ts';
export * from './coordination/HostCoordination.ts';
export * from './host/HostOptions.ts';
export * from './host/ports.ts';
export * from './observe/Metrics.ts';
export * from './settings/HostSettings.ts';
export * from './version.ts';
