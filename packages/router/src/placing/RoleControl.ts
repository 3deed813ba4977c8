import type { Clock, EngineRole, Millis, ModelId, UpstreamId } from '@camphorvane/core';
import { sleep } from '@camphorvane/core';
import type { EngineKnowledge, RoleDecision, RoleView } from '@camphorvane/decisions';
import { RoleShifter } from '@camphorvane/decisions';
import type { StoreLease } from '@camphorvane/store';
import type { UpstreamError } from '@camphorvane/upstream';
import type { UpstreamDirectory } from '../host/UpstreamDirectory.ts';
import type { Metrics } from '../observe/Metrics.ts';
import { stateLog } from '../observe/StateLog.ts';
import { roleView } from './roleView.ts';

/** Milliseconds between two decisions about the roles of a pool. */
const ROUND_MS: Millis = 500;

/**
 * Hosts that decide at all, those first in the order of names. One acts, the next ones act if it does
 * not; further ones would only spend processor time on the forecast.
 */
const DECIDING_HOSTS = 3;

/** Milliseconds for which a host holds back for each host that is to act before it. */
const HOLD_BACK_MS: Millis = 4_000;

/**
 * Milliseconds between the news of a change and the order: peers hear of it within 60 ms, and a prompt
 * that is on its way then is read within a tenth of a second. An engine refuses what has not begun.
 */
const NOTICE_MS: Millis = 200;

/**
 * Milliseconds beyond the change itself after which an engine counts as usable again in any case: its
 * streams end first, and an order that got no answer may be carried out seconds late.
 */
const LONGEST_EXTRA_MS: Millis = 14_000;

/** Times that an order without an answer is sent. It names what it expects, so it holds once. */
const ORDER_TRIES = 3;

/** Milliseconds before an order without an answer is sent again. */
const ORDER_RETRY_MS: Millis = 700;

const log = stateLog('roles');

/** What the control of the roles is made of. */
export interface RoleControlOptions {
  readonly clock: Clock;
  readonly directory: Pick<UpstreamDirectory, 'getModels' | 'getPool' | 'getEngine'>;
  readonly knowledge: EngineKnowledge;
  /** Only its holder gives orders. */
  readonly lease: Pick<StoreLease, 'hold' | 'getFence'>;
  /** Names this host in orders. */
  readonly holder: string;
  /** Gets how many hosts are to act before this one; undefined while it is to take no part. */
  readonly rank: () => number | undefined;
  /** Tells peers at once which engines change. */
  readonly announce: () => void;
  readonly metrics: Metrics;
}

type Move = Extract<RoleDecision, { readonly type: 'move' }>;

/** What became of an order. */
type OrderOutcome = 'taken' | 'refused' | 'unanswered' | 'unreachable' | 'lease_lost' | 'no_report';

/**
 * Moves engines between the roles as the demand asks for it.
 *
 * Every host knows the demand; a few decide, and the one that holds the lease in the store orders.
 * While the store is away nobody can, and the roles stay as they are. An engine is taken out of use
 * everywhere before it is ordered, and comes back when the list of engines shows its new role.
 */
export class RoleControl {
  private readonly options: RoleControlOptions;

  private readonly shifters = new Map<ModelId, RoleShifter>();

  /** What the log says of each pool, so that a decision is written once. */
  private readonly logged = new Map<ModelId, string>();

  /** @param options - What it is made of. */
  constructor(options: RoleControlOptions) {
    this.options = options;
  }

  /** Decides until stopped. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, directory } = this.options;
    while (!signal.aborted) {
      await sleep(clock, ROUND_MS, signal);
      const models = signal.aborted ? [] : directory.getModels();
      await models.reduce(
        (before, model) => before.then(() => this.round(model)),
        Promise.resolve(),
      );
    }
  }

  private async round(model: ModelId): Promise<void> {
    const { clock, directory, knowledge, rank } = this.options;
    const engines = directory.getPool(model)?.engines ?? [];
    const now = clock.now();
    knowledge.moves.settle(engines, now);
    this.count(model);
    const before = rank();
    if (before === undefined || before >= DECIDING_HOSTS) return;
    const view = roleView({ model, engines, knowledge, holdBackMs: before * HOLD_BACK_MS, now });
    if (view === undefined) return;
    const decision = this.shifterOf(model).decide(view, now);
    this.note(model, view, decision);
    if (decision.type === 'move') await this.move(view, decision);
  }

  private async move(view: RoleView, { engines, role }: Move): Promise<void> {
    const { clock, knowledge, lease, announce } = this.options;
    const state = await lease.hold();
    if (state.type === 'not_held') {
      log('lease_not_held', { reason: state.reason });
      return;
    }
    const until = clock.now() + view.switchMs + LONGEST_EXTRA_MS;
    engines.forEach((engine) => knowledge.moves.begin(engine, role, until));
    announce();
    await sleep(clock, NOTICE_MS);
    await Promise.all(engines.map((engine) => this.order(engine, role)));
  }

  private async order(id: UpstreamId, role: EngineRole): Promise<void> {
    const { directory, knowledge, clock, announce, holder, metrics } = this.options;
    const report = await directory.getEngine(id)?.engine.load();
    const expected = report?.isOk() === true ? report.value.ordersTaken : undefined;
    const outcome = expected === undefined ? 'no_report' : await this.send(id, role, expected);
    log('order', { engine: id, role, expected, outcome, holder });
    metrics.count('role.order', { role, outcome });
    // An order that got no answer may still be carried out: the engine stays out of use meanwhile.
    if (outcome === 'taken' || outcome === 'unanswered') return;
    knowledge.moves.takeBack(id, clock.now());
    announce();
  }

  private async send(id: UpstreamId, role: EngineRole, expected: number): Promise<OrderOutcome> {
    const { clock, directory, lease, holder } = this.options;
    let tries = 0;
    let last: OrderOutcome = 'lease_lost';
    while (tries < ORDER_TRIES) {
      tries += 1;
      const fence = lease.getFence() ?? (await this.renewedFence());
      const engine = directory.getEngine(id)?.engine;
      if (fence === undefined || engine === undefined) return last;
      const result = await engine.order({ type: 'role', role, fence, holder, expected });
      if (result.isOk()) return 'taken';
      // A repeat that is refused finds the first order done: its answer was lost.
      if (result.error.type === 'rejected') return last === 'unanswered' ? last : 'refused';
      last = outcomeOf(result.error, last);
      await sleep(clock, ORDER_RETRY_MS);
    }
    return last;
  }

  private async renewedFence(): Promise<number | undefined> {
    const state = await this.options.lease.hold();
    return state.type === 'held' ? state.fence : undefined;
  }

  private shifterOf(model: ModelId): RoleShifter {
    const known = this.shifters.get(model);
    if (known !== undefined) return known;
    const shifter = new RoleShifter();
    this.shifters.set(model, shifter);
    return shifter;
  }

  /** Writes a decision when it is another one than before. */
  private note(model: ModelId, view: RoleView, decision: RoleDecision): void {
    const { forecast } = decision;
    const reason = decision.type === 'move' ? decision.engines.join(' ') : decision.reason;
    const split =
      forecast && `${forecast.present.prefillEngines}+${forecast.present.decodeEngines}`;
    const wanted = forecast && `${forecast.wanted.prefillEngines}+${forecast.wanted.decodeEngines}`;
    const logged = `${decision.type} ${reason} ${split} ${wanted}`;
    if (this.logged.get(model) === logged) return;
    this.logged.set(model, logged);
    log('decision', {
      model,
      decision: decision.type,
      reason,
      split,
      wanted,
      lateNow: forecast && toThousandths(forecast.lateNow),
      lateThen: forecast && toThousandths(forecast.lateThen),
      requests: forecast?.requests,
      readPerMs: toThousandths(view.readPerMs),
      tokenMs: toThousandths(view.tokenMs),
      onTimeMs: Math.round(view.onTimeMs),
    });
  }

  private count(model: ModelId): void {
    const { clock, directory, knowledge, metrics } = this.options;
    const now = clock.now();
    const states = (directory.getPool(model)?.engines ?? []).map(({ id, role }) =>
      knowledge.moves.roleOf(id, now) === undefined ? role : 'changing',
    );
    (['prefill', 'decode', 'changing'] as const).forEach((state) =>
      metrics.gauge('engines', states.filter((one) => one === state).length, { state }),
    );
  }
}

function outcomeOf(error: UpstreamError, last: OrderOutcome): OrderOutcome {
  return error.dispatched || last === 'unanswered' ? 'unanswered' : 'unreachable';
}

/** A forecast tells no more than that. */
function toThousandths(part: number): number {
  return Math.round(part * 1_000) / 1_000;
}
