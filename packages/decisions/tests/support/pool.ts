import { type EngineConfig, type EngineRole, RandomSource } from '@camphorvane/core';
import { FairPoolScheduler, type PoolShape, type WorkItem } from '@camphorvane/decisions';

/** Makes an engine with a role and some memory. */
export function engine(id: string, role: EngineRole, memoryPieces = 20): EngineConfig {
  return { id, role, memoryPieces, url: 'http://127.0.0.1:1', zone: 'a', checksFencing: true };
}

/** Makes a pool with a number of engines of each role. */
export function pool(prefills: number, decodes: number, memoryPieces = 20): PoolShape {
  const ids = (count: number): readonly number[] => [...Array(count).keys()];
  return {
    engines: [
      ...ids(prefills).map((n) => engine(`p${n}`, 'prefill', memoryPieces)),
      ...ids(decodes).map((n) => engine(`d${n}`, 'decode', memoryPieces)),
    ],
    ttftTargetMs: 730,
    itlTargetMs: 35,
    linkPiecesPerSecond: 1000,
  };
}

/** Makes a scheduler with a fixed seed. */
export function scheduler(shape: PoolShape): FairPoolScheduler {
  return new FairPoolScheduler(shape, { random: new RandomSource(1), reservationPrefix: 'r' });
}

/** Makes a request of one piece, with what a test changes. */
export function work(request: string, change: Partial<WorkItem> = {}): WorkItem {
  return {
    request,
    holder: 'h1',
    team: 'team',
    weight: 1,
    class: 'summary',
    promptTokens: 900,
    maxOutputTokens: 100,
    prefixes: [],
    maxWaitMs: 60_000,
    avoid: [],
    ...change,
  };
}
