export * from './PeerLink.ts';
export { GROUP_KIND } from './group/GroupObject.ts';
export * from './group/GroupRunner.ts';
