export * from './GroupShareAuthority.ts';
export * from './ShareAuthority.ts';
export * from './TeamRateDump.ts';
export * from './TeamRates.ts';
