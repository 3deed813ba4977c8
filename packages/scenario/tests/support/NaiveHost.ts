import { estimateTokens, notRun, piecesFor, sha256Hex, sleep } from '@camphorvane/core';
import type { Refusal, RoutingConfig, TeamConfig } from '@camphorvane/core';
import type {
  CallerBackend,
  CompletionEvent,
  CompletionRequest,
  HostRecommendation,
  ServiceResponse,
  ServiceRequest,
} from '@camphorvane/caller';
import type { ModelEngine } from '@camphorvane/upstream';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { HostEdges, Subject, SubjectHost } from '../../src/index.ts';

/** What a broken host does wrong; `none` serves simple scenarios rightly. */
export type Fault =
  | 'none'
  | 'leaks_memory'
  | 'shows_key'
  | 'lies_not_run'
  | 'ignores_rate'
  | 'answers_twice'
  | 'loses_a_position'
  | 'swaps_prompts'
  | 'repeats_calls'
  | 'goes_back'
  | 'serves_while_leaving'
  | 'cuts_on_drain'
  | 'keeps_withdrawn_keys'
  | 'never_ends'
  | 'loses_a_change'
  | 'lags_behind';

const POLL_MS = 1000;
const DRAIN_MS = 8000;
const HOSTS = 3;
const SECOND_MS = 1000;
const BUSY = notRun('no_capacity', 'No room at present.', SECOND_MS);

/** A host without groups, queues or leases: just enough to run a request, and to break a promise. */
class NaiveHost implements SubjectHost, CallerBackend {
  readonly backend: CallerBackend = this;

  private config: RoutingConfig | undefined;

  private version = 0;

  private drainedAt: number | undefined;

  private ids = 0;

  private lastPrompt = '';

  private readonly spent = new Map<string, number>();

  private readonly startedAt: number;

  constructor(
    private readonly edges: HostEdges,
    private readonly fault: Fault,
  ) {
    this.startedAt = edges.clock.now();
  }

  async start(): Promise<void> {
    await this.poll();
    this.edges.clock.after(POLL_MS, () => {
      void this.start();
    });
  }

  async drain(): Promise<void> {
    this.drainedAt = this.edges.clock.now();
    if (this.fault !== 'cuts_on_drain') await sleep(this.edges.clock, DRAIN_MS);
  }

  configVersion(): number {
    return this.version;
  }

  newRequestId(): string {
    this.ids += 1;
    return `${this.edges.id}.${this.edges.starts}.${this.ids}`;
  }

  recommendHosts(): Result<HostRecommendation, Refusal> {
    const hosts = Array.from({ length: HOSTS }, (_, index) => `h${index + 1}`)
      .filter((host) => host !== this.edges.id || this.drainedAt === undefined)
      .map((host) => ({ host, zone: 'a', address: host }));
    return ok({ hosts, maxAgeMs: POLL_MS });
  }

  models(): Result<readonly string[], Refusal> {
    return ok([]);
  }

  async *complete(
    id: string,
    req: CompletionRequest,
    signal: AbortSignal,
  ): AsyncIterable<CompletionEvent> {
    const tokens = estimateTokens(req.prompt) + req.maxTokens;
    const refusal = this.admit(req.key, tokens);
    const pool = this.config?.pools.find((one) => one.model === req.model);
    if (refusal !== undefined || pool === undefined) {
      yield { type: 'refused', refusal: refusal ?? BUSY };
      return;
    }
    const engines = pool.engines.map((cfg) => ({ cfg, engine: this.edges.engines(cfg) }));
    const prefill = engines.find(({ cfg }) => cfg.role === 'prefill')!;
    const decode = engines.find(({ cfg }) => cfg.role === 'decode')!.engine;
    if (this.fault === 'never_ends') await new Promise(() => {});
    const imported = await this.importKv(id, req, prefill.engine, prefill.cfg.url, decode, signal);
    if (imported === undefined || this.fault === 'lies_not_run') {
      if (this.fault === 'lies_not_run') void decode.cancel(id);
      yield { type: 'refused', refusal: BUSY };
      return;
    }
    yield* this.stream(id, imported, req, decode, signal);
  }

  async callService(
    id: string,
    req: ServiceRequest,
    signal: AbortSignal,
  ): Promise<Result<ServiceResponse, Refusal>> {
    const refusal = this.admit(req.key, 1);
    const service = this.config?.services.find((one) => one.id === req.service);
    const server = service?.servers[0];
    if (refusal !== undefined || server === undefined) return err(refusal ?? BUSY);
    const key: Record<string, string> =
      this.fault === 'shows_key' ? { authorization: req.key ?? '' } : {};
    const call = {
      attempt: id,
      method: req.method,
      path: req.path,
      headers: { ...req.headers, ...key },
      body: req.body,
      class: 'certificate' as const,
      timeoutMs: 5000,
    };
    const client = this.edges.servers(server, () => undefined);
    if (this.fault === 'repeats_calls') {
      await client.call({ ...call, attempt: `${id}.0` }, signal);
    }
    const answer = await client.call(call, signal);
    return answer
      .map((one) => ({ ...one, replayed: false }))
      .mapErr((): Refusal => ({ code: 'outcome_unknown', message: '', execution: 'unknown' }));
  }

  private async *stream(
    id: string,
    kvHandle: string,
    req: CompletionRequest,
    decode: ModelEngine,
    signal: AbortSignal,
  ): AsyncIterable<CompletionEvent> {
    const cmd = {
      attempt: id,
      kvHandle,
      maxTokens: req.maxTokens,
      fromPosition: 0,
      priority: 0,
    };
    const usage = { promptTokens: 1, cachedTokens: 0, outputTokens: 1 };
    for await (const event of decode.decode(cmd, signal)) {
      const broken: CompletionEvent = {
        type: 'refused',
        refusal: { code: 'outcome_unknown', message: '', execution: 'unknown' },
      };
      const withdrawn = this.teamOf(req.key) === undefined && this.fault !== 'keeps_withdrawn_keys';
      if (event.isErr() || withdrawn) {
        yield broken;
        return;
      }
      const seen = event.value;
      const lost = this.fault === 'loses_a_position' && 'position' in seen && seen.position === 3;
      if (seen.type === 'token' && !lost) yield seen;
      if (seen.type === 'done') yield { type: 'done', reason: seen.reason, ...usage };
      if (seen.type === 'done' && this.fault === 'answers_twice') {
        yield { type: 'done', reason: seen.reason, ...usage };
      }
    }
  }

  private async importKv(
    id: string,
    req: CompletionRequest,
    prefill: ModelEngine,
    sourceUrl: string,
    decode: ModelEngine,
    signal: AbortSignal,
  ): Promise<string | undefined> {
    const swap = this.fault === 'swaps_prompts' && this.lastPrompt !== '';
    const prompt = swap ? this.lastPrompt : req.prompt;
    this.lastPrompt = req.prompt;
    const ran = await prefill.prefill(
      { attempt: id, model: req.model, prompt, continuation: '', priority: 0 },
      signal,
    );
    if (ran.isErr()) return undefined;
    const { kvHandle, promptTokens } = ran.value;
    const pieces = piecesFor(promptTokens + req.maxTokens);
    const leaks = this.fault === 'leaks_memory';
    const ends = leaks ? new AbortController().signal : signal;
    const moved = await decode.transfer({ attempt: id, kvHandle, sourceUrl, pieces }, ends);
    if (signal.aborted && !leaks) void decode.cancel(id);
    return moved.isErr() || signal.aborted ? undefined : kvHandle;
  }

  private admit(key: string | undefined, tokens: number): Refusal | undefined {
    const team = this.teamOf(key);
    if (team === undefined) return notRun('unknown_key', 'The key is not in force.');
    if (this.drainedAt !== undefined && this.fault !== 'serves_while_leaving') return BUSY;
    if (this.fault === 'ignores_rate') return undefined;
    const spent = (this.spent.get(team.id) ?? 0) + tokens;
    const seconds = (this.edges.clock.now() - this.startedAt) / SECOND_MS;
    const { tokensPerSecond, burstTokens } = team.rate;
    if (spent > (tokensPerSecond * seconds + burstTokens) / HOSTS) {
      return notRun('over_rate', 'The team is over its rate.', SECOND_MS);
    }
    this.spent.set(team.id, spent);
    return undefined;
  }

  private teamOf(key: string | undefined): TeamConfig | undefined {
    return this.config?.teams.find((team) => team.keyDigests.includes(sha256Hex(key ?? '')));
  }

  private async poll(): Promise<void> {
    const found = await this.edges.store.get('naive', 'config');
    if (found.isErr() || found.value === undefined) return;
    const { version, value } = found.value;
    const stays = this.fault === 'keeps_withdrawn_keys' || this.fault === 'lags_behind';
    const keeps = stays && this.config !== undefined;
    if (keeps && this.fault === 'lags_behind') return;
    if (!keeps) this.config = value as RoutingConfig;
    this.version = this.fault === 'goes_back' ? version - (this.ids % 2) : version;
  }
}

/** Gets hosts with a fault, to show that the checks find it. */
export function naiveSubject(fault: Fault): Subject {
  return {
    build: (edges) => new NaiveHost(edges, fault),
    publish: async (store, _clock, config) => {
      if (fault === 'loses_a_change' && config.teams[0]?.rate.burstTokens === 1) return 0;
      const old = await store.get('naive', 'config');
      const expected = old.isOk() ? (old.value?.version ?? 'absent') : 'absent';
      const put = await store.put('naive', 'config', config, expected);
      return put.isOk() ? put.value.version : 0;
    },
  };
}
