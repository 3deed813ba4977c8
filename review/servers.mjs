/* eslint-disable */
// Stand-ins of the servers: a plain service, and a model engine for prefill or decode.
import { createServer } from 'node:http';
import { randomBytes } from 'node:crypto';

const HANDLE_TTL_MS = 500;
const PREFILL_TOKENS_PER_MS = 55;

/** What all servers of a run share: the record, and the handles of prefills. */
export class World {
  arrivals = [];
  handles = new Map();
  startedAt = Date.now();

  now() {
    return Date.now() - this.startedAt;
  }
}

export class FakeServer {
  isDown = false;
  isDraining = false;
  sockets = new Set();
  running = 0;

  /**
   * @param options - `id`, `service`, `zone`, `stage` (undefined for a plain service), `slots`, `ip`, `world`, `store`;
   *   `workMs` of a plain call, `eventMs` of a stream; hooks `onRun(arrival, req, res)`, which may answer itself and then
   *   returns true, and `eventsOf(id, count)`.
   */
  constructor(options) {
    this.options = { slots: 48, workMs: 60, eventMs: 20, heartbeatMs: 1_200, ...options };
    this.born = Date.now();
    this.seq = 0;
    this.server = createServer((req, res) => void this.serve(req, res));
    this.server.keepAliveTimeout = 5_000;
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.on('error', () => undefined);
      socket.once('close', () => this.sockets.delete(socket));
    });
  }

  get id() {
    return this.options.id;
  }

  async start(port = 0) {
    await new Promise((resolve) => this.server.listen(port, this.options.ip, resolve));
    this.port = this.server.address().port;
    this.address = `${this.options.ip}:${this.port}`;
    this.register();
    this.timer = setInterval(() => this.register(), this.options.heartbeatMs);
  }

  /** Writes its entry, as every server does about every heartbeat interval; returns when it was acknowledged. */
  register() {
    const { service, zone, slots, stage, store, id } = this.options;
    this.seq += 1;
    return store.write('servers', id, {
      service,
      address: this.address,
      zone,
      version: 'v1',
      slots,
      state: this.isDraining ? 'draining' : 'ready',
      'cold-left-ms': 0,
      ...(stage === undefined ? {} : { stage, models: [{ name: 'm', version: 1, adapters: [] }] }),
      seq: this.seq,
      born: this.born,
    });
  }

  drain() {
    this.isDraining = true;
    return this.register();
  }

  /** Crashes: no listener any more, all connections reset. Its entry is removed after three heartbeat intervals. */
  crash() {
    if (this.isDown) return;
    this.isDown = true;
    clearInterval(this.timer);
    this.server.close();
    [...this.sockets].forEach((socket) => socket.resetAndDestroy());
    const { store, heartbeatMs, id } = this.options;
    this.removal = setTimeout(() => store.remove('servers', id), 3 * heartbeatMs);
  }

  stop() {
    this.crash();
    clearTimeout(this.removal);
  }

  async serve(req, res) {
    const { world, stage } = this.options;
    const at = world.now();
    const chunks = [];
    try {
      for await (const chunk of req) chunks.push(chunk);
    } catch {
      return;
    }
    const body = Buffer.concat(chunks).toString();
    if (req.method === 'DELETE') {
      world.handles.delete(req.url.split('/').at(-1));
      res.end();
      return;
    }
    if (req.url === '/report') {
      this.report(res);
      return;
    }
    const expected = req.headers['x-camphorvane-expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      res.writeHead(421, { 'x-camphorvane-instance-id': this.id }).end();
      return;
    }
    if (req.url === '/health') {
      res.writeHead(this.isDraining ? 503 : 200, { 'x-camphorvane-instance-id': this.id }).end();
      return;
    }
    if (req.url === '/order') {
      res.writeHead(409).end();
      return;
    }
    if (req.url === '/kv-move') {
      res.writeHead(503, { 'content-type': 'application/json' }).end('{}');
      return;
    }
    const id = req.headers['x-camphorvane-request-id'] ?? '';
    const isPrefill = req.headers['x-camphorvane-stage'] === 'prefill';
    const last = req.headers['last-event-id'];
    const arrival = {
      at,
      id,
      server: this.id,
      method: req.method,
      path: req.url,
      body,
      isPrefill,
      last,
      headers: req.headers,
    };
    world.arrivals.push(arrival);
    if (this.running >= this.options.slots) {
      this.reject(res, arrival);
      return;
    }
    this.running += 1;
    try {
      if (stage === undefined) await this.runPlain(req, res, arrival);
      else if (isPrefill) await this.runPrefill(req, res, arrival);
      else await this.runDecode(req, res, arrival);
    } finally {
      this.running -= 1;
      arrival.endedAt = world.now();
    }
  }

  report(res) {
    const { stage } = this.options;
    if (stage === undefined) {
      res.writeHead(404).end();
      return;
    }
    const body = JSON.stringify({
      stage,
      models: [{ name: 'm', version: 1, adapters: [] }],
      busy: false,
      seq: 0,
      waiting: 0,
      running: this.running,
      'kv-used': 0,
      'kv-total': 96_000,
      handles: 0,
      born: this.born,
    });
    res.writeHead(200, { 'content-type': 'application/json' }).end(body);
  }

  async runPlain(req, res, arrival) {
    const { world, workMs, onRun } = this.options;
    arrival.ranAt = world.now();
    if ((await onRun?.call(this, arrival, req, res)) === true) return;
    await pause(workMs, res);
    if (res.destroyed || this.isDown) return;
    const body = plainBody(arrival.id, this.id);
    arrival.status = 200;
    res.writeHead(200, { ...this.stamp(arrival.id), 'content-length': Buffer.byteLength(body) });
    res.end(body);
  }

  async runPrefill(req, res, arrival) {
    const { stage, world } = this.options;
    if (stage !== 'prefill') {
      res.writeHead(421, { 'x-camphorvane-instance-id': this.id }).end();
      return;
    }
    const [tokens = 0] = tokenCounts(req);
    await pause(tokens / PREFILL_TOKENS_PER_MS, res);
    if (res.destroyed || this.isDown) return;
    const handle = randomBytes(6).toString('hex');
    world.handles.set(handle, { id: arrival.id, until: Date.now() + HANDLE_TTL_MS });
    arrival.status = 200;
    const body = JSON.stringify({
      'prefill-handle': handle,
      tokens: Math.max(0, tokens),
      version: 1,
    });
    res
      .writeHead(200, {
        'content-type': 'application/json',
        'x-camphorvane-request-id': arrival.id,
      })
      .end(body);
  }

  async runDecode(req, res, arrival) {
    const { stage, world, eventMs, onRun } = this.options;
    if (stage !== 'decode') {
      res.writeHead(421, { 'x-camphorvane-instance-id': this.id }).end();
      return;
    }
    const [tokens = 0, count = 0] = tokenCounts(req);
    const source = req.headers['x-camphorvane-kv-source']?.split('/').at(-1);
    if (source !== undefined) {
      const handle = world.handles.get(source);
      world.handles.delete(source);
      if (handle === undefined || handle.until < Date.now()) {
        this.reject(res, arrival);
        return;
      }
    } else {
      await pause((2 * tokens) / PREFILL_TOKENS_PER_MS, res);
    }
    if (res.destroyed || this.isDown) return;
    arrival.ranAt = world.now();
    if ((await onRun?.call(this, arrival, req, res)) === true) return;
    // An answer may have no length, and end with its connection.
    if (this.options.isUnframed === true) {
      res.useChunkedEncodingByDefault = false;
      res.shouldKeepAlive = false;
    }
    res.writeHead(200, { ...this.stamp(arrival.id), 'content-type': 'text/event-stream' });
    let position = arrival.last === undefined ? 0 : Number(arrival.last) + 1;
    arrival.events = 0;
    while (position < count && !res.destroyed && !this.isDown) {
      res.write(streamEvent(arrival.id, position));
      arrival.events += 1;
      position += 1;
      await pause(eventMs, res);
    }
    if (this.isDown || res.destroyed) return;
    arrival.status = 200;
    res.end();
  }

  reject(res, arrival) {
    arrival.status = 503;
    res.writeHead(503, { 'x-camphorvane-not-executed': '1' }).end();
  }

  /** Answers with a failure of its own, after it has run the request. */
  fail(res, arrival) {
    const body = JSON.stringify({ error: 'internal', server: this.id });
    arrival.status = 500;
    res.writeHead(500, {
      ...this.stamp(arrival.id),
      'content-type': 'application/json',
      'content-length': body.length,
    });
    res.end(body);
  }

  stamp(id) {
    return { 'x-camphorvane-request-id': id, 'x-camphorvane-server-stamp': `${this.id}.${id}` };
  }
}

export function streamEvent(id, position) {
  return `id: ${position}\ndata: ${id}/${position}\n\n`;
}

export function streamBody(id, count) {
  return Array.from({ length: count }, (_, position) => streamEvent(id, position)).join('');
}

export function plainBody(id, server) {
  return `${id} ${server} `.repeat(40).slice(0, 800);
}

function tokenCounts(req) {
  return (req.headers['x-camphorvane-token-count'] ?? '0,0').split(',').map(Number);
}

/** Waits, or until the connection closes: most servers drop a request then. */
export function pause(ms, res) {
  return new Promise((resolve) => {
    const done = () => {
      clearTimeout(timer);
      res?.off('close', done);
      resolve();
    };
    const timer = setTimeout(done, ms);
    res?.once('close', done);
  });
}
