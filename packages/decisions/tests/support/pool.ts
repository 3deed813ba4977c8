import { type EngineConfig, type EngineRole, RandomSource } from '@camphorvane/core';
import { FairPoolScheduler, type PoolSchedulerConfig, type WorkItem } from '@camphorvane/decisions';

/** Makes the configuration of an engine. */
export function engine(id: string, role: EngineRole, memoryPieces = 20): EngineConfig {
  return { id, role, memoryPieces, url: 'http://127.0.0.1:1', zone: 'a', checksFencing: true };
}

/** Makes a pool with engines `p0`, `p1`, ... for prefill and `d0`, `d1`, ... for decode. */
export function pool(prefills: number, decodes: number, memoryPieces = 20): PoolSchedulerConfig {
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
export function scheduler(shape: PoolSchedulerConfig): FairPoolScheduler {
  return new FairPoolScheduler(shape, { random: new RandomSource(1), reservationPrefix: 'r' });
}

/** Makes a request that needs one piece of memory, with the given changes. */
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
