export * from './OriginLink.ts';
export * from './PeerOriginLink.ts';
export * from './originCodec.ts';
