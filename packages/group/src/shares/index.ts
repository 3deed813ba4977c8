export * from './ShareHolder.ts';
export * from './ShareMessage.ts';
export * from './ShareSettings.ts';
export * from './ShareNudge.ts';
export * from './ShareCoordinator.ts';
export * from './CoordinatorContext.ts';
export type { HeldShare } from './HeldShare.ts';
export type { TeamLedger } from './TeamLedger.ts';
