import type { ForwardEvent, ForwardRequest } from '@camphorvane/caller';
import type {
  EngineConfig,
  ForwardRoute,
  LoadSnapshot,
  RoutingConfig,
  ServiceServer,
  VersionedConfig,
} from '@camphorvane/core';
import { RandomSource, sha256Hex, SystemClock } from '@camphorvane/core';
import { EngineKnowledge, RepeatBudget } from '@camphorvane/decisions';
import { Host, Metrics } from '@camphorvane/router';
import type { AgreementContext, HostAgreement } from '@camphorvane/router';
import type {
  DecodeCommand,
  DecodeEvent,
  ModelEngine,
  PlainServer,
  PrefillCommand,
  ServiceAnswer,
  ServiceCall,
  UpstreamError,
} from '@camphorvane/upstream';
import { err, errAsync, ok, okAsync } from 'neverthrow';
import type { Result, ResultAsync } from 'neverthrow';
import { SharedRates } from '../../src/agreement/SharedRates.ts';
import { LocalPlacer } from '../../src/placing/LocalPlacer.ts';
import { CrashGuard } from '../../src/serving/CrashGuard.ts';
import { serviceRepeats } from '../../src/serving/teamRepeats.ts';

export const KEY = 'the-key';

/** What an engine does with one decode command. */
export type DecodeScript = (
  cmd: DecodeCommand,
  signal: AbortSignal,
) => AsyncIterable<Result<DecodeEvent, UpstreamError>>;

/** What a plain server does with one call. */
export type CallScript = (
  call: ServiceCall,
  signal: AbortSignal,
) => ResultAsync<ServiceAnswer, UpstreamError>;

/** Scripts of the upstreams, and what they saw. */
export interface ForwardFleetOptions {
  readonly decode?: Readonly<Record<string, DecodeScript>>;
  readonly call?: Readonly<Record<string, CallScript>>;
  readonly route?: Partial<ForwardRoute>;
  /** Engines that answer when they are asked for their load; none where absent. */
  readonly answering?: readonly string[];
  /** Called while an engine reads a prompt. */
  readonly onPrefill?: () => void;
  /** Repeats beyond the first one, which can always be paid. */
  readonly repeats?: number;
}

const LOAD: LoadSnapshot = {
  ...{ role: 'decode', usedPieces: 0, memoryPieces: 10, running: 1, waiting: 0 },
  attempts: [],
};

/** One host between scripted engines and servers, without a network. */
export class ForwardFleet {
  readonly prefills: string[] = [];

  readonly decodes: string[] = [];

  readonly cancelled: string[] = [];

  readonly calls: string[] = [];

  readonly host: Host;

  private inForce: VersionedConfig;

  private readonly listeners: ((config: VersionedConfig) => void)[] = [];

  private readonly clock = new SystemClock();

  /** All fleets of a test file, which ends them so that no task outlives its tests. */
  private static readonly all: ForwardFleet[] = [];

  /** Ends all fleets. */
  static stopAll(): void {
    ForwardFleet.all.forEach((fleet) => fleet.host.stop());
  }

  constructor(private readonly options: ForwardFleetOptions) {
    ForwardFleet.all.push(this);
    this.inForce = { version: 1, config: this.config() };
    this.host = new Host({
      identity: { host: 'h', zone: 'a', callerAddress: 'h:1', peerAddress: 'h:2' },
      incarnation: 'i',
      drainGraceMs: 1_000,
      clock: this.clock,
      random: new RandomSource(1),
      agreement: (context) => this.agreement(context),
      engines: (cfg) => this.engine(cfg),
      servers: (cfg) => this.server(cfg),
      metrics: new Metrics(),
    });
    this.host.start();
  }

  /** Sends a request, and gets all events of its answer. */
  async send(
    path: string,
    change: Partial<ForwardRequest> = {},
    signal = new AbortController().signal,
  ): Promise<readonly ForwardEvent[]> {
    const req: ForwardRequest = {
      key: KEY,
      host: 'h.example',
      method: 'POST',
      path,
      headers: { 'x-id': 'r1' },
      body: Buffer.from('body'),
      patienceMs: 2_000,
      work: { promptTokens: 100, maxTokens: 50, parts: [], lastPosition: undefined },
      ...change,
    };
    const events: ForwardEvent[] = [];
    for await (const event of this.host.forwarding.forward('r1', req, signal)) events.push(event);
    return events;
  }

  /** Takes engines and servers out of the configuration. */
  remove(ids: readonly string[]): void {
    const { pools, services, ...rest } = this.inForce.config;
    const config: RoutingConfig = {
      ...rest,
      pools: pools.map((pool) => ({
        ...pool,
        engines: pool.engines.filter(({ id }) => !ids.includes(id)),
      })),
      services: services.map((service) => ({
        ...service,
        servers: service.servers.filter(({ id }) => !ids.includes(id)),
      })),
    };
    this.inForce = { version: this.inForce.version + 1, config };
    this.listeners.forEach((listener) => listener(this.inForce));
  }

  private config(): RoutingConfig {
    const engine = (id: string, role: 'prefill' | 'decode'): EngineConfig => ({
      id,
      url: `http://${id}`,
      zone: 'a',
      role,
      memoryPieces: 10,
      slots: 4,
      checksFencing: false,
    });
    const base: ForwardRoute = {
      name: 'r',
      host: 'h.example',
      pathPrefix: '/llm/',
      kind: 'stream',
      targets: [{ service: 'llm', weight: 1 }],
      open: false,
      timeoutMs: 2_000,
      targetMs: 300,
      priority: 1,
      maxAttempts: 2,
      resumable: false,
      ...this.options.route,
    };
    const plain = { ...base, targets: [{ service: 'plain', weight: 1 }] };
    return {
      teams: [
        {
          id: 't',
          rate: { tokensPerSecond: 0, burstTokens: 0 },
          keyDigests: [sha256Hex(KEY)],
          models: [],
          weight: 1,
        },
      ],
      pools: [
        {
          model: 'llm',
          engines: [engine('p1', 'prefill'), engine('d1', 'decode'), engine('d2', 'decode')],
          maxTokens: 10_000,
          ttftTargetMs: 300,
          itlTargetMs: 100,
          linkPiecesPerSecond: 100,
        },
      ],
      services: [
        {
          id: 'plain',
          timeoutMs: 60_000,
          routes: [],
          servers: ['s1', 's2'].map((id): ServiceServer => ({
            id,
            url: `http://${id}`,
            zone: 'a',
            maxConcurrent: 4,
          })),
        },
      ],
      waitRules: [],
      routes: [
        base,
        { ...plain, name: 'safe', pathPrefix: '/safe/', kind: 'idempotent' },
        { ...plain, name: 'once', pathPrefix: '/once/', kind: 'at_most_once' },
      ],
    };
  }

  private agreement({ clock, directory }: AgreementContext): HostAgreement {
    const group = {
      members: () => [],
      stewardOf: () => undefined,
      maySteward: () => false,
      mayAct: () => true,
      waitToAct: async () => undefined,
      onChange: () => () => undefined,
    };
    const { repeats: slack = 100 } = this.options;
    const allowance = { ratio: slack > 0 ? 1 : 0, slack, windowMs: 10_000 };
    const knowledge = new EngineKnowledge();
    const placer = new LocalPlacer({
      ...{ clock, random: new RandomSource(1), directory, knowledge, incarnation: 'i' },
      onNews: () => undefined,
    });
    return {
      config: {
        current: () => this.inForce,
        isConfirmed: () => true,
        confirmNow: async () => true,
        onChange: (listener) => {
          this.listeners.push(listener);
          listener(this.inForce);
          return () => undefined;
        },
        state: () => ({ version: 1 }),
      },
      group,
      rates: new SharedRates(clock, { over: 0, slackTokens: 0, windowMs: 1_000 }),
      repeats: serviceRepeats(new RepeatBudget(allowance, () => 1)),
      placer,
      slowStart: knowledge.slowStart,
      crashes: new CrashGuard({ self: 'h', clock, group, suspicion: { crashes: 3 } }),
      claims: undefined,
      endsWithdrawn: false,
      start: () => undefined,
      beginLeaving: async () => undefined,
      leave: async () => undefined,
      stop: () => placer.stop(),
      answer: async () => ({ type: 'ok' }),
      getCoordinated: () => [],
      getEpoch: () => 0,
      dump: () => ({}),
    };
  }

  private engine(cfg: EngineConfig): ModelEngine {
    const rejected = errAsync<never, UpstreamError>({
      type: 'rejected',
      dispatched: false,
      message: 'not offered',
    });
    return {
      id: cfg.id,
      prefill: (cmd: PrefillCommand) => {
        this.prefills.push(cfg.id);
        this.options.onPrefill?.();
        const { attempt } = cmd;
        return okAsync({ attempt, kvHandle: `${cfg.id}/k`, promptTokens: 100, cachedTokens: 0 });
      },
      transfer: () => okAsync(undefined),
      decode: (cmd, signal) => {
        this.decodes.push(cfg.id);
        return (this.options.decode?.[cfg.id] ?? wholeStream)(cmd, signal);
      },
      cancel: () => {
        this.cancelled.push(cfg.id);
        return okAsync(undefined);
      },
      load: () => (this.options.answering?.includes(cfg.id) === true ? okAsync(LOAD) : rejected),
      order: () => rejected,
    };
  }

  private server(cfg: ServiceServer): PlainServer {
    return {
      id: cfg.id,
      call: (call, signal) => {
        this.calls.push(cfg.id);
        return (this.options.call?.[cfg.id] ?? wholeCall)(call, signal);
      },
    };
  }
}

/** Pieces of a scripted stream; each has its position as its text. */
export async function* pieces(
  cmd: DecodeCommand,
  from: number,
  to: number,
): AsyncGenerator<Result<DecodeEvent, UpstreamError>> {
  const { attempt } = cmd;
  yield ok({ type: 'head', attempt, head: { status: 200, headers: {} } });
  let position = from;
  while (position < to) {
    yield ok({ type: 'piece', attempt, position, bytes: Buffer.from(`${position};`) });
    position += 1;
  }
}

/** A stream of four pieces, from where the command says. */
export async function* wholeStream(
  cmd: DecodeCommand,
): AsyncGenerator<Result<DecodeEvent, UpstreamError>> {
  yield* pieces(cmd, cmd.fromPosition, 4);
  yield ok({ type: 'done', attempt: cmd.attempt, reason: 'stop', outputTokens: 4 });
}

/** A stream that ends with an error after some pieces. */
export function failing(to: number, error: UpstreamError): DecodeScript {
  return async function* script(cmd) {
    if (to > 0) yield* pieces(cmd, cmd.fromPosition, to);
    yield err(error);
  };
}

/** A call that is answered. */
export function wholeCall(): ResultAsync<ServiceAnswer, UpstreamError> {
  return okAsync({ status: 200, headers: {}, body: Buffer.from('ok') });
}

/** Gets the text of an answer. */
export function textOfAnswer(events: readonly ForwardEvent[]): string {
  return events
    .flatMap((event) => (event.type === 'data' ? [Buffer.from(event.bytes).toString()] : []))
    .join('');
}

/** Gets how an answer ended: `done`, or the refusal's code and execution. */
export function endOf(events: readonly ForwardEvent[]): string {
  const last = events.at(-1);
  if (last?.type !== 'refused') return last?.type ?? 'nothing';
  return `${last.refusal.code} ${last.refusal.execution}`;
}
