import assert from 'node:assert/strict';
import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { after, test } from 'node:test';
import { NO_OVERLOAD_POLICY, sleep, SystemClock } from '@camphorvane/core';
import { PlatformEngine } from '@camphorvane/platform';
import { answerEnding, answerText, ForwardFleet } from '../support/ForwardFleet.ts';

after(() => ForwardFleet.stopAll());

const FRAMINGS = ['length', 'chunks', 'close'] as const;
type Framing = (typeof FRAMINGS)[number];

/** What an engine sends; `cut` answers lack bytes that their framing announces. */
interface Reply {
  readonly body: string;
  readonly isCut?: boolean;
  readonly isReset?: boolean;
  /** Whether the connection stays open. */
  readonly isHeld?: boolean;
  readonly status?: number;
  readonly type?: string;
}

/** Gets the reply of an engine that is asked to go on at a position. */
type Reaction = (from: number) => Reply;

const JSON_TYPE = 'application/json';

const ID = 'x-camphorvane-request-id';

const TIMEOUT_MS = 4_000;

const CALL = {
  callerTimeoutMs: TIMEOUT_MS,
  work: { promptTokens: 100, maxTokens: 500, parts: [] },
};

const NO_SIGNALS = { requestsPerSecond: undefined, endsLimit: false, restMs: undefined };

const EVENT_COUNT = 4;

const event = (id: number): string => `id: ${id}\ndata: x\n\n`;

/** Gets the events from a position up to another one. */
function events(from: number, to = EVENT_COUNT): string {
  const count = Math.max(0, to - from);
  return Array.from({ length: count }, (_, i) => event(from + i)).join('');
}

const WHOLE: Reaction = (from) => ({ body: events(from) });

/** What comes before the run: nothing, or a first run of two events, and how the stream leaves its engine. */
const BEFORE = ['nothing', 'loss', 'move', 'backup'] as const;
type Before = (typeof BEFORE)[number];

/** Replies of the first run by what follows it. */
const FIRST_RUNS: Readonly<Record<Before, readonly Reaction[]>> = {
  nothing: [],
  loss: [() => ({ body: events(0, 2), isCut: true })],
  move: [() => ({ body: events(0, 2), isCut: true, isHeld: true })],
  backup: [() => ({ body: events(0, 2), isCut: true })],
};

function encode({ body, isCut = false, status = 200, type }: Reply, framing: Framing): string {
  const signed = 'x-camphorvane-server-stamp: s\r\n';
  const head = `HTTP/1.1 ${status} X\r\ncontent-type: ${type ?? 'text/event-stream'}\r\n${signed}`;
  switch (framing) {
    case 'length':
      return `${head}content-length: ${body.length + (isCut ? 10 : 0)}\r\n\r\n${body}`;
    case 'chunks': {
      const chunk = body === '' ? '' : `${body.length.toString(16)}\r\n${body}\r\n`;
      return `${head}transfer-encoding: chunked\r\n\r\n${chunk}${isCut ? '' : '0\r\n\r\n'}`;
    }
    case 'close':
      return `${head}connection: close\r\n\r\n${body}`;
    default:
      return framing satisfies never;
  }
}

function send(socket: Socket, reply: Reply, framing: Framing): void {
  const bytes = encode(reply, framing);
  if (reply.isReset === true) {
    socket.write(bytes.slice(0, -1));
    setTimeout(() => {
      socket.write(bytes.slice(-1));
      socket.resetAndDestroy();
    }, 20);
    return;
  }
  if (reply.isHeld === true) socket.write(bytes);
  else socket.end(bytes);
}

const headerOf = (req: string, name: string): string | undefined =>
  new RegExp(`^${name}: (\\S+)`, 'im').exec(req)?.[1];

/** All engines of a fleet, at one address. */
class EngineServer {
  /** Where each run got its KV cache, in order. */
  readonly sources: (string | undefined)[] = [];

  /** Called with the engine of the first run once that has begun. */
  onBegun: (engine: string) => void = () => undefined;

  private first: Socket | undefined;

  private heldCount = 0;

  private readonly server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', (bytes) => this.respond(socket, bytes.toString()));
  });

  constructor(
    private readonly reactions: readonly Reaction[],
    private readonly framing: (run: number) => Framing,
  ) {}

  async listen(): Promise<string> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return `http://127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Waits until other streams run. */
  async waitForHeld(count: number): Promise<void> {
    while (this.heldCount < count) await sleep(new SystemClock(), 5);
  }

  close(): void {
    this.server.close();
  }

  private respond(socket: Socket, req: string): void {
    if (req.startsWith('POST /llm/held')) {
      this.heldCount += 1;
      send(socket, { body: '', isCut: true, isHeld: true }, 'chunks');
    } else if (req.startsWith('POST /llm/')) this.run(socket, req);
    else if (req.startsWith('POST /kv-move')) {
      if (req.includes('"last":true')) this.first?.end();
      const body = JSON.stringify({ 'prefill-handle': 'moved', 'create-revision': 2 });
      send(socket, { body, type: JSON_TYPE }, 'length');
    } else socket.destroy();
  }

  private run(socket: Socket, req: string): void {
    const run = this.sources.push(headerOf(req, 'x-camphorvane-kv-source')?.split('/').at(-1)) - 1;
    const reply = this.reactions[run]?.(Number(headerOf(req, 'last-event-id') ?? -1) + 1);
    if (reply === undefined) {
      socket.destroy();
      return;
    }
    if (reply.isHeld === true) this.first = socket;
    send(socket, reply, this.framing(run));
    if (run === 0) this.onBegun(headerOf(req, 'x-camphorvane-expect-instance') ?? '');
  }
}

/** Streams that run beside another one which is to get a backup. */
const OTHER_STREAMS = 7;

/** Has the runs of one request react in order; returns how its caller sees the answer. */
async function answerTo(
  before: Before,
  rest: readonly Reaction[],
  framing: Framing,
): Promise<string> {
  const reactions = [...FIRST_RUNS[before], ...rest];
  const tested = FIRST_RUNS[before].length;
  const server = new EngineServer(reactions, (run) => (run === tested ? framing : 'chunks'));
  const url = await server.listen();
  const decodeIds = ['d1', 'd2', 'd3'];
  const cfg = { url, zone: 'a', role: 'decode', memoryPieces: 10, checksFencing: false } as const;
  const engines = decodeIds.map((id) => [
    id,
    new PlatformEngine({ ...cfg, id }, new SystemClock(), () => undefined),
  ]);
  const fleet = new ForwardFleet({
    ...{ decodeIds, engines: Object.fromEntries(engines) },
    engineConfig: { url, memoryPieces: 1_000, slots: 12 },
    overload: {
      ...{ ...NO_OVERLOAD_POLICY, streamMoves: before === 'move' },
      streamBackups: before === 'backup',
    },
    relocation: { moves: true, backups: true },
    route: { resumable: true, maxAttempts: reactions.length, timeoutMs: TIMEOUT_MS },
  });
  if (before === 'move') {
    server.onBegun = (engine) =>
      setTimeout(() => fleet.signal(engine, { ...NO_SIGNALS, leaving: true }), 30);
  }
  const left = new AbortController();
  const others = Array.from({ length: before === 'backup' ? OTHER_STREAMS : 0 }, (_, i) =>
    fleet.send('/llm/held', { ...CALL, headers: { [ID]: `held${i}` } }, left.signal),
  );
  await server.waitForHeld(others.length);
  const answer = await fleet.send('/llm/x', { ...CALL, headers: { [ID]: 'r1' } });
  left.abort();
  await Promise.all(others);
  server.close();
  if (before === 'move') assert.equal(server.sources[1], 'moved');
  if (before === 'backup') assert.equal(server.sources[1], 'r1');
  const ids = answerText(answer).replaceAll('id: ', '').replaceAll('\ndata: x\n\n', ' ');
  return `${ids}${answerEnding(answer)}`;
}

const BROKEN = 'upstream_failed unknown';

/** How the answer ends by framing: `length`, `chunks`, `close`. */
type Ends = readonly [string, string, string];

const all = (end: string): Ends => [end, end, end];

/** An end of a run, and how the caller sees it where the run is the first one, and where it goes on at event 2. */
interface EndCase {
  readonly name: string;
  readonly react: Reaction;
  readonly first: Ends;
  readonly resumed: Ends;
}

const CASES: readonly EndCase[] = [
  {
    name: 'after all events',
    react: (from) => WHOLE(from),
    first: all('0 1 2 3 done'),
    resumed: all('0 1 2 3 done'),
  },
  {
    name: 'inside an event',
    react: (from) => ({ body: `${events(from, 3)}id: 3\nda`, isCut: true }),
    first: all(`0 1 2 ${BROKEN}`),
    resumed: all(`0 1 2 ${BROKEN}`),
  },
  {
    name: 'inside an event, with a mark',
    react: (from) => ({ body: `${events(from, 3)}id: 3\nda` }),
    first: all(`0 1 2 ${BROKEN}`),
    resumed: all(`0 1 2 ${BROKEN}`),
  },
  {
    // An orderly close between two events is all that ends a stream without a length.
    name: 'between events',
    react: (from) => ({ body: events(from, 3), isCut: true }),
    first: [`0 1 2 ${BROKEN}`, `0 1 2 ${BROKEN}`, '0 1 2 done'],
    resumed: [`0 1 2 ${BROKEN}`, `0 1 2 ${BROKEN}`, '0 1 2 done'],
  },
  {
    name: 'after the head',
    react: () => ({ body: '', isCut: true }),
    first: all(BROKEN),
    resumed: all(`0 1 ${BROKEN}`),
  },
  {
    name: 'by a reset between events',
    react: (from) => ({ body: events(from, 3), isCut: true, isReset: true }),
    first: all(`0 1 2 ${BROKEN}`),
    resumed: all(`0 1 2 ${BROKEN}`),
  },
  {
    name: 'by a reset with the last bytes',
    react: (from) => ({ body: events(from), isReset: true }),
    first: ['0 1 2 3 done', '0 1 2 3 done', `0 1 2 3 ${BROKEN}`],
    resumed: ['0 1 2 3 done', '0 1 2 3 done', `0 1 2 3 ${BROKEN}`],
  },
  {
    name: 'with a mark before any event',
    react: () => ({ body: '' }),
    first: ['done', 'done', BROKEN],
    resumed: ['0 1 done', '0 1 done', `0 1 ${BROKEN}`],
  },
  {
    name: 'with status 500',
    react: () => ({ body: '{}', status: 500, type: JSON_TYPE }),
    first: all('{}done'),
    resumed: all(`0 1 ${BROKEN}`),
  },
  {
    name: 'with another content type',
    react: () => ({ body: '{}', type: JSON_TYPE }),
    first: all('{}done'),
    resumed: all(`0 1 ${BROKEN}`),
  },
  {
    name: 'inside an answer with another content type',
    react: () => ({ body: '{', type: JSON_TYPE, isCut: true, isReset: true }),
    first: all(BROKEN),
    resumed: all(`0 1 ${BROKEN}`),
  },
];

// Guards against an answer that was broken off and reaches its caller as complete, and against a stream that breaks
// off though an engine is left that would go on with it.
CASES.forEach(({ name, react, first, resumed }) =>
  test(`a run that ends ${name} ends the answer as its framing tells`, async () => {
    const checks = FRAMINGS.flatMap((framing, i) =>
      BEFORE.map(async (before) => {
        const end = (before === 'nothing' ? first : resumed)[i];
        const text = `${framing}, ${before} before`;
        assert.equal(await answerTo(before, [react], framing), end, text);
        const goesOn = end?.endsWith(BROKEN) === true ? '0 1 2 3 done' : end;
        assert.equal(await answerTo(before, [react, WHOLE], framing), goesOn, `${text}, more`);
      }),
    );
    await Promise.all(checks);
  }),
);
