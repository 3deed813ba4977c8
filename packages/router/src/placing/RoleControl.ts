import type { Clock, EngineRole, Millis, ModelId, UpstreamId } from '@camphorvane/core';
import { runLoop, sleep } from '@camphorvane/core';
import type { EngineKnowledge, RoleDecision, RoleView } from '@camphorvane/decisions';
import { RoleRebalancer } from '@camphorvane/decisions';
import type { StoreLease } from '@camphorvane/store';
import type { UpstreamError } from '@camphorvane/upstream';
import type { UpstreamDirectory } from '../host/UpstreamDirectory.ts';
import type { Metrics } from '../observe/Metrics.ts';
import { eventLog } from '../observe/EventLog.ts';
import { roleView } from './roleView.ts';

/** Milliseconds between two decisions on the engine roles of a pool. */
const DECISION_PERIOD_MS: Millis = 500;

/**
 * Hosts that decide on roles: the first ones by name. The first acts, and the others take over if it
 * does not; further hosts would only spend CPU time on forecasts.
 */
const DECIDING_HOSTS = 3;

/** Milliseconds by which a host delays its decisions for each host that precedes it. */
const HOLD_BACK_PER_HOST_MS: Millis = 4_000;

/**
 * Milliseconds between announcing a role change and ordering it. Peers learn of it within 60 ms, and a
 * prefill in flight by then ends within another 100 ms; the engine refuses requests not yet started.
 */
const ORDER_DELAY_MS: Millis = 200;

/**
 * Milliseconds beyond the duration of a role change after which an engine counts as usable again in any
 * case: it finishes its streams first, and an unanswered order may be executed seconds late.
 */
const MAX_SWITCH_OVERRUN_MS: Millis = 14_000;

/**
 * Attempts to send an order that gets no answer. An order names the number of earlier orders that it
 * expects, so that it takes effect at most once.
 */
const ORDER_ATTEMPTS = 3;

/** Milliseconds before an unanswered order is sent again. */
const ORDER_RETRY_MS: Millis = 700;

const log = eventLog('roles');

/** Dependencies of {@link RoleControl}. */
export interface RoleControlOptions {
  readonly clock: Clock;
  readonly directory: Pick<UpstreamDirectory, 'getModels' | 'getPool' | 'getEngine'>;
  readonly knowledge: EngineKnowledge;
  /** Lease without which this host sends no orders. */
  readonly lease: Pick<StoreLease, 'acquireOrRenew' | 'getFencingToken'>;
  /** Name of this host in orders. */
  readonly holder: string;
  /** Gets the number of hosts that precede this one; undefined while it must not decide. */
  readonly rank: () => number | undefined;
  /** Tells peers at once which engines are changing their role. */
  readonly announce: () => void;
  readonly metrics: Metrics;
}

type RoleChangeDecision = Extract<RoleDecision, { readonly type: 'move' }>;

/** Result of an order. */
type OrderOutcome = 'taken' | 'refused' | 'unanswered' | 'unreachable' | 'lease_lost' | 'no_report';

/**
 * Changes the roles of engines between prefill and decode according to demand.
 *
 * Every host knows the demand; a few hosts decide, and the one that holds the lease in the store sends
 * the orders. While the store is unavailable no host does, and the roles stay as they are. All hosts stop
 * using an engine before it gets an order, and use it again once it is listed with its new role.
 */
export class RoleControl {
  private readonly options: RoleControlOptions;

  private readonly rebalancers = new Map<ModelId, RoleRebalancer>();

  /** Last logged decision of each pool; an unchanged decision is not logged again. */
  private readonly lastLogged = new Map<ModelId, string>();

  /** @param options - Dependencies. */
  constructor(options: RoleControlOptions) {
    this.options = options;
  }

  /** Decides until the signal is aborted. */
  run(signal: AbortSignal): Promise<void> {
    const { clock, directory } = this.options;
    return runLoop({ place: 'roles', clock, signal }, async () => {
      await sleep(clock, DECISION_PERIOD_MS, signal);
      const models = signal.aborted ? [] : directory.getModels();
      await models.reduce(
        (previous, model) => previous.then(() => this.decideRoles(model)),
        Promise.resolve(),
      );
    });
  }

  private async decideRoles(model: ModelId): Promise<void> {
    const { clock, directory, knowledge, rank } = this.options;
    const engines = directory.getPool(model)?.engines ?? [];
    const now = clock.now();
    knowledge.roleChanges.prune(engines, now);
    this.countEngines(model);
    const hostsBefore = rank();
    if (hostsBefore === undefined || hostsBefore >= DECIDING_HOSTS) return;
    const view = roleView({
      model,
      engines,
      knowledge,
      holdBackMs: hostsBefore * HOLD_BACK_PER_HOST_MS,
      now,
    });
    if (view === undefined) return;
    const decision = this.rebalancerFor(model).decide(view, now);
    this.logDecision(model, view, decision);
    if (decision.type === 'move') await this.changeRoles(view, decision);
  }

  private async changeRoles(view: RoleView, { engines, role }: RoleChangeDecision): Promise<void> {
    const { clock, knowledge, lease, announce } = this.options;
    const state = await lease.acquireOrRenew();
    if (state.type === 'not_held') {
      log('lease_not_held', { reason: state.reason });
      return;
    }
    const until = clock.now() + view.roleSwitchMs + MAX_SWITCH_OVERRUN_MS;
    engines.forEach((engine) => knowledge.roleChanges.begin(engine, role, until));
    announce();
    await sleep(clock, ORDER_DELAY_MS);
    await Promise.all(engines.map((engine) => this.orderRole(engine, role)));
  }

  private async orderRole(id: UpstreamId, role: EngineRole): Promise<void> {
    const { directory, knowledge, clock, announce, holder, metrics } = this.options;
    const report = await directory.getEngine(id)?.engine.load();
    const expected = report?.isOk() === true ? report.value.ordersTaken : undefined;
    const outcome = expected === undefined ? 'no_report' : await this.sendOrder(id, role, expected);
    log('order', { engine: id, role, expected, outcome, holder });
    metrics.count('role.order', { role, outcome });
    // An unanswered order may still be executed, so the engine stays out of use until then.
    if (outcome === 'taken' || outcome === 'unanswered') return;
    knowledge.roleChanges.revoke(id, clock.now());
    announce();
  }

  private async sendOrder(
    id: UpstreamId,
    role: EngineRole,
    expected: number,
  ): Promise<OrderOutcome> {
    const { clock, directory, lease, holder } = this.options;
    let attempts = 0;
    let last: OrderOutcome = 'lease_lost';
    while (attempts < ORDER_ATTEMPTS) {
      attempts += 1;
      const fence = lease.getFencingToken() ?? (await this.renewLease());
      const engine = directory.getEngine(id)?.engine;
      if (fence === undefined || engine === undefined) return last;
      const result = await engine.order({ type: 'role', role, fence, holder, expected });
      if (result.isOk()) return 'taken';
      // A rejected retry means that the first order was executed and its answer lost.
      const wasRefused = result.error.type === 'rejected' || result.error.type === 'withheld';
      if (wasRefused) return last === 'unanswered' ? last : 'refused';
      last = outcomeOf(result.error, last);
      await sleep(clock, ORDER_RETRY_MS);
    }
    return last;
  }

  private async renewLease(): Promise<number | undefined> {
    const state = await this.options.lease.acquireOrRenew();
    return state.type === 'held' ? state.fence : undefined;
  }

  private rebalancerFor(model: ModelId): RoleRebalancer {
    const known = this.rebalancers.get(model);
    if (known !== undefined) return known;
    const rebalancer = new RoleRebalancer();
    this.rebalancers.set(model, rebalancer);
    return rebalancer;
  }

  /** Logs a decision that differs from the last one of the pool. */
  private logDecision(model: ModelId, view: RoleView, decision: RoleDecision): void {
    const { forecast } = decision;
    const reason = decision.type === 'move' ? decision.engines.join(' ') : decision.reason;
    const split =
      forecast && `${forecast.current.prefillEngines}+${forecast.current.decodeEngines}`;
    const wanted = forecast && `${forecast.target.prefillEngines}+${forecast.target.decodeEngines}`;
    const logged = `${decision.type} ${reason} ${split} ${wanted}`;
    if (this.lastLogged.get(model) === logged) return;
    this.lastLogged.set(model, logged);
    log('decision', {
      model,
      decision: decision.type,
      reason,
      split,
      wanted,
      lateNow: forecast && toThousandths(forecast.currentLateShare),
      lateThen: forecast && toThousandths(forecast.targetLateShare),
      requests: forecast?.requests,
      readPerMs: toThousandths(view.prefillTokensPerMs),
      tokenMs: toThousandths(view.tokenIntervalMs),
      onTimeMs: Math.round(view.onTimeMs),
    });
  }

  private countEngines(model: ModelId): void {
    const { clock, directory, knowledge, metrics } = this.options;
    const now = clock.now();
    const states = (directory.getPool(model)?.engines ?? []).map(({ id, role }) =>
      knowledge.roleChanges.getTargetRole(id, now) === undefined ? role : 'changing',
    );
    (['prefill', 'decode', 'changing'] as const).forEach((state) =>
      metrics.gauge('engines', states.filter((one) => one === state).length, { state }),
    );
  }
}

function outcomeOf(error: UpstreamError, last: OrderOutcome): OrderOutcome {
  return error.dispatched || last === 'unanswered' ? 'unanswered' : 'unreachable';
}

/** Rounds to three decimals; forecasts are not more precise. */
function toThousandths(part: number): number {
  return Math.round(part * 1_000) / 1_000;
}
