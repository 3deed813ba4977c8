export * from './PeerLink.ts';
