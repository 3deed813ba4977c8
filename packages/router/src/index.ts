export * from './host/Host.ts';
export * from './agreement/GroupAgreement.ts';
export * from './agreement/HostAgreement.ts';
export * from './host/HostOptions.ts';
export * from './host/ports.ts';
export * from './observe/Metrics.ts';
export * from './settings/HostSettings.ts';
export * from './version.ts';
