export * from './ShareHolder.ts';
export * from './ShareMessage.ts';
export * from './ShareSettings.ts';
export * from './ShareNudge.ts';
export * from './ShareSteward.ts';
export * from './StewardContext.ts';
export type { HeldShare } from './HeldShare.ts';
export type { TeamLedger } from './TeamLedger.ts';
