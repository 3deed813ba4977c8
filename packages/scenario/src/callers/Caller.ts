import { sleep } from '@camphorvane/core';
import type { Clock, HostId, Millis } from '@camphorvane/core';
import type { CompletionEvent } from '@camphorvane/caller';
import { keyOf } from '../language/routingConfig.ts';
import type { HostSlot, LiveHost } from '../world/HostSlot.ts';
import type { HostChooser } from './HostChooser.ts';
import { markOf } from './plannedRequest.ts';
import type { PlannedRequest, RequestLog, Send, SendOutcome } from './RequestLog.ts';
import { SendCollector } from './SendCollector.ts';

const SECOND_MS = 1000;
const RESEND_DELAY_MS = 100;
const RETRY_MARGIN_MS = 10;
const SECOND_ANSWER_MS = 50;

interface Ended {
  readonly type: 'ended';
  readonly outcome: SendOutcome;
}
type Step = Ended | { readonly type: 'event'; readonly event: CompletionEvent | undefined };

/** Sends one request after another as a caller does, and notes what it sees. */
export class Caller {
  constructor(
    private readonly slots: ReadonlyMap<HostId, HostSlot>,
    private readonly chooser: HostChooser,
    private readonly clock: Clock,
    private readonly latencyMs: Millis,
  ) {}

  /**
   * Sends a request until it is answered, refused for good, or given up.
   *
   * @param request - The request.
   * @param sends - Takes each send when it has ended.
   * @returns The request with all its sends.
   */
  async run(request: PlannedRequest, sends: Send[]): Promise<RequestLog> {
    let failed: readonly HostId[] = [];
    let again: Millis | undefined = 0;
    while (again !== undefined) {
      await sleep(this.clock, again);
      const host = this.chooser.choose(request.work, failed);
      const send = await this.send(request, host);
      sends.push(send);
      if (goesElsewhere(send)) {
        failed = [...failed, host];
        this.chooser.forget(request.work.team);
      }
      again = sends.length < request.work.tries ? waitBeforeResend(request, send) : undefined;
    }
    return { request, sends };
  }

  private async send(request: PlannedRequest, id: HostId): Promise<Send> {
    const seen = new SendCollector(request, id, this.clock);
    await sleep(this.clock, this.latencyMs);
    const live = this.slots.get(id)?.running;
    if (live === undefined) return seen.finish({ type: 'connection_refused' });
    const gone = new AbortController();
    const leave = this.timer(request.work.leave_after);
    const outcome = await (request.work.service === undefined
      ? this.complete(request, live, seen, gone, leave.ended)
      : this.callService(request, live, seen, gone, leave.ended));
    leave.stop();
    if (outcome.type === 'left' || outcome.type === 'unanswered') {
      live.life.run(() => gone.abort());
    }
    return seen.finish(outcome);
  }

  private async complete(
    request: PlannedRequest,
    live: LiveHost,
    seen: SendCollector,
    gone: AbortController,
    left: Promise<Ended>,
  ): Promise<SendOutcome> {
    const { backend } = live.host;
    const { work, prompt, maxTokens } = request;
    const cell: { events?: AsyncIterator<CompletionEvent> } = {};
    const next = async (): Promise<Step> => {
      if (cell.events === undefined) await live.life.gate();
      cell.events ??= backend
        .complete(
          backend.newRequestId(),
          {
            key: keyOf(work.team),
            model: work.model ?? '',
            prompt,
            maxTokens,
            class: work.class,
            forwardedByHost: false,
          },
          gone.signal,
        )
        [Symbol.asyncIterator]();
      const item = await cell.events.next();
      return { type: 'event', event: item.done ? undefined : item.value };
    };
    const died = broken(live);
    let outcome: SendOutcome | undefined;
    while (outcome === undefined) {
      const patience = this.patience(work.patience);
      const step = await Promise.race([next(), died, patience.ended, left]);
      patience.stop();
      if (step.type === 'ended') outcome = step.outcome;
      else if (step.event === undefined) outcome = { type: 'broken' };
      else outcome = seen.event(step.event);
    }
    const rest = drainRest(cell.events, seen, outcome.type === 'whole');
    // A second answer to the same send would come right behind the first.
    if (outcome.type === 'whole') await Promise.race([rest, sleep(this.clock, SECOND_ANSWER_MS)]);
    return outcome;
  }

  private async callService(
    request: PlannedRequest,
    live: LiveHost,
    seen: SendCollector,
    gone: AbortController,
    left: Promise<Ended>,
  ): Promise<SendOutcome> {
    const { work, id } = request;
    const body = JSON.stringify({ request: markOf(work.content ?? id), text: work.text });
    const patience = this.patience(work.patience);
    const call = live.life.gate().then(async (): Promise<Ended> => {
      const { backend } = live.host;
      const result = await backend.callService(
        backend.newRequestId(),
        {
          key: keyOf(work.team),
          service: work.service ?? '',
          method: work.method,
          path: work.path,
          headers: { 'content-type': 'application/json' },
          idempotencyKey: work.method === 'GET' ? undefined : `once-${id}`,
          body: Buffer.from(body),
          forwardedByHost: false,
        },
        gone.signal,
      );
      const outcome: SendOutcome = result.match(
        (reply) => seen.reply(reply, body),
        (refusal) => ({ type: 'refused', refusal }),
      );
      return { type: 'ended', outcome };
    });
    const ended = await Promise.race([call, broken(live), patience.ended, left]);
    patience.stop();
    return ended.outcome;
  }

  private patience(seconds: number): { readonly ended: Promise<Ended>; stop(): void } {
    return this.timer(seconds, { type: 'unanswered' });
  }

  private timer(
    seconds: number | undefined,
    outcome: SendOutcome = { type: 'left' },
  ): { readonly ended: Promise<Ended>; stop(): void } {
    const stop = new AbortController();
    const ended = new Promise<Ended>((resolve) => {
      if (seconds === undefined) return;
      const cancel = this.clock.after(seconds * SECOND_MS, () =>
        resolve({ type: 'ended', outcome }),
      );
      stop.signal.addEventListener('abort', cancel, { once: true });
    });
    return { ended, stop: () => stop.abort() };
  }
}

/** Tells whether the caller asks for other hosts: its connection broke, or its host is leaving. */
function goesElsewhere({ outcome }: Send): boolean {
  if (outcome.type === 'refused') return outcome.refusal.code === 'host_draining';
  return outcome.type === 'broken' || outcome.type === 'connection_refused';
}

/** Gets when the caller sends again, if it does. */
function waitBeforeResend(request: PlannedRequest, send: Send): Millis | undefined {
  switch (send.outcome.type) {
    case 'broken':
    case 'connection_refused':
      return RESEND_DELAY_MS;
    case 'refused': {
      const { retryAfterMs } = send.outcome.refusal;
      if (goesElsewhere(send)) return RESEND_DELAY_MS;
      if (!request.work.comes_back || retryAfterMs === undefined) return undefined;
      return retryAfterMs + RETRY_MARGIN_MS;
    }
    case 'whole':
    case 'unanswered':
    case 'left':
      return undefined;
    default:
      return send.outcome satisfies never;
  }
}

/** Breaks a send when its host dies. */
function broken(live: LiveHost): Promise<Ended> {
  return new Promise((resolve) => {
    const ended = (): void => resolve({ type: 'ended', outcome: { type: 'broken' } });
    if (live.life.killed.aborted) ended();
    else live.life.killed.addEventListener('abort', ended, { once: true });
  });
}

/** Reads what still comes after the end; another whole answer then counts as a second one. */
async function drainRest(
  events: AsyncIterator<CompletionEvent> | undefined,
  seen: SendCollector,
  counts: boolean,
): Promise<void> {
  if (events === undefined) return;
  let item = await events.next();
  while (!item.done) {
    if (counts) seen.event(item.value);
    item = await events.next();
  }
}
