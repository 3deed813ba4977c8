/* eslint-disable */
// Stand-ins of the second review: the platform's store, plain servers, clients, and hosts started as deploy/system.toml says.
// They follow PROTOCOL.md and DEPLOY.md; nothing here comes from the project's own stand-ins.
import { spawn } from 'node:child_process';
import fs from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import { fileURLToPath } from 'node:url';

export const ROOT = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../..');
export const TROUBLE = process.env.TROUBLE !== '0';
export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
export const now = () => performance.now();
let ids = 0;
export const newId = (prefix) =>
  `${prefix}-${process.pid.toString(16)}${(ids += 1).toString(16).padStart(6, '0')}`;

/** Gets a free port of a loopback address. */
export function freePort(ip) {
  return new Promise((resolve, reject) => {
    const server = net.createServer();
    server.once('error', reject);
    server.listen(0, ip, () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });
}

/** Writes `record.txt` of a case. */
export class Record {
  constructor(folder) {
    this.lines = [];
    this.file = path.join(folder, 'record.txt');
    this.from = now();
  }

  add(text) {
    const line = `${((now() - this.from) / 1000).toFixed(3).padStart(8)}  ${text}`;
    this.lines.push(line);
    if (process.env.SHOW) console.log(line);
  }

  /** Adds one line a request: when it was sent, how it ended for its client, and where it ran. */
  addRequest({ id, sentAt, end, run }) {
    const sent =
      sentAt === undefined ? '' : `sent at ${((sentAt - this.from) / 1000).toFixed(3)}, `;
    this.lines.push(
      `          ${id}: ${sent}client: ${end ?? 'no answer'}; server: ${run ?? 'nothing ran'}`,
    );
  }

  save() {
    fs.writeFileSync(this.file, `${this.lines.join('\n')}\n`);
  }
}

/** The platform's store: objects by kind and name, one revision counter, watches, and cheap reads that may be old. */
export class Store {
  constructor({ pageSize = 500, oldMs = () => 0, delayMs = 3 } = {}) {
    Object.assign(this, { pageSize, oldMs, delayMs });
    this.objects = new Map();
    this.revision = 100;
    this.changes = [];
    this.watchers = new Set();
    this.server = http.createServer((req, res) => this.serve(req, res));
    this.server.keepAliveTimeout = 60_000;
  }

  async listen(ip) {
    this.port = await freePort(ip);
    this.address = `${ip}:${this.port}`;
    await new Promise((resolve) => this.server.listen(this.port, ip, resolve));
  }

  /** Serves the same objects at a further address; gets what ends the service at the address before. */
  async moveTo(ip) {
    const before = this.server;
    this.server = http.createServer((req, res) => this.serve(req, res));
    this.server.keepAliveTimeout = 60_000;
    await this.listen(ip);
    return () => {
      before.closeAllConnections();
      before.close();
    };
  }

  close() {
    this.server.closeAllConnections();
    this.server.close();
  }

  write(kind, name, spec) {
    const key = `${kind}/${name}`;
    const known = this.objects.get(key);
    if (known && JSON.stringify(known.spec) === JSON.stringify(spec)) return known;
    this.revision += 1;
    const metadata = {
      name,
      revision: this.revision,
      'create-revision': known?.metadata['create-revision'] ?? this.revision,
      finalizers: [],
      deleting: false,
    };
    const object = { metadata, spec, status: null };
    this.objects.set(key, object);
    this.record(kind, object, false);
    return object;
  }

  remove(kind, name) {
    const key = `${kind}/${name}`;
    const known = this.objects.get(key);
    if (!known) return;
    this.objects.delete(key);
    this.revision += 1;
    this.record(kind, { ...known, metadata: { ...known.metadata, revision: this.revision } }, true);
  }

  record(kind, object, deleted) {
    this.changes.push({ at: now(), revision: this.revision, kind, object, deleted });
    [...this.watchers].forEach((notify) => notify());
  }

  /** The objects and the revision as they were some time ago. */
  view(msAgo) {
    const until = now() - msAgo;
    if (msAgo <= 0) return { objects: this.objects, revision: this.revision };
    const objects = new Map();
    let revision = 100;
    for (const change of this.changes) {
      if (change.at > until) break;
      const key = `${change.kind}/${change.object.metadata.name}`;
      if (change.deleted) objects.delete(key);
      else objects.set(key, change.object);
      revision = change.revision;
    }
    return { objects, revision };
  }

  async serve(req, res) {
    const chunks = [];
    for await (const chunk of req) chunks.push(chunk);
    const url = new URL(req.url, 'http://store');
    const [, , kind = '', rawName] = url.pathname.split('/');
    const name = rawName === undefined ? undefined : decodeURIComponent(rawName);
    const text = Buffer.concat(chunks).toString();
    const body = text === '' ? undefined : JSON.parse(text);
    if (req.method === 'GET' && url.searchParams.has('watch')) {
      this.watch(kind, url, res);
      return;
    }
    const [status, answer] = this.handle(req.method, kind, name, url, body);
    await sleep(this.delayMs);
    this.send(res, status, answer);
  }

  send(res, status, body) {
    if (!res.destroyed)
      res.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body));
  }

  handle(method, kind, name, url, body) {
    const known = this.objects.get(`${kind}/${name ?? body?.metadata?.name}`);
    const expected =
      body?.metadata?.revision ??
      (url.searchParams.get('revision') ? Number(url.searchParams.get('revision')) : undefined);
    const conflicts =
      known !== undefined && expected !== undefined && expected !== known.metadata.revision;
    switch (method) {
      case 'GET':
        if (name !== undefined) return known === undefined ? [404, {}] : [200, known];
        return [200, this.list(kind, url)];
      case 'POST':
        return known === undefined
          ? [200, this.write(kind, body.metadata.name, body.spec)]
          : [409, known];
      case 'PUT':
        if (known === undefined) return [404, {}];
        return conflicts ? [409, known] : [200, this.write(kind, name, body.spec)];
      case 'DELETE':
        if (known === undefined) return [404, {}];
        if (conflicts) return [409, known];
        this.remove(kind, name);
        return [200, known];
      default:
        return [405, {}];
    }
  }

  list(kind, url) {
    const after = url.searchParams.get('after') ?? '';
    const isCheap = url.searchParams.get('serializable') === '1';
    const { objects, revision } = this.view(isCheap ? this.oldMs(kind, after) : 0);
    const all = [...objects]
      .filter(([key]) => key.startsWith(`${kind}/`))
      .map(([, object]) => object)
      .filter((object) => object.metadata.name > after)
      .sort((a, b) => (a.metadata.name < b.metadata.name ? -1 : 1));
    const items = all.slice(0, this.pageSize);
    this.onList?.({ kind, after, isCheap, revision, newest: this.revision, items: items.length });
    return { items, truncated: items.length < all.length, 'current-rev': revision };
  }

  watch(kind, url, res) {
    const after = Number(url.searchParams.get('watch'));
    const waitMs = Number(url.searchParams.get('wait-ms') ?? 0);
    const answer = (isLast) => {
      const events = this.changes
        .filter((change) => change.kind === kind && change.revision > after)
        .map(({ object, deleted }) => ({ object, deleted }));
      if (events.length === 0 && !isLast) return false;
      this.send(res, 200, { events, 'current-rev': this.revision });
      return true;
    };
    if (answer(waitMs === 0)) return;
    const notify = () => {
      if (!answer(false)) return;
      this.watchers.delete(notify);
      clearTimeout(timer);
    };
    const timer = setTimeout(() => {
      this.watchers.delete(notify);
      answer(true);
    }, waitMs);
    this.watchers.add(notify);
    res.once('close', () => {
      this.watchers.delete(notify);
      clearTimeout(timer);
    });
  }
}

/** A server of a plain service: one run a request, answers with its signature, drops a request whose connection closes. */
export class PlainServer {
  constructor({
    id,
    service,
    zone = 'akl-a',
    slots = 6,
    workMs = () => 60,
    onRun = () => undefined,
    onArrival = () => undefined,
  }) {
    Object.assign(this, { id, service, zone, slots, workMs, onRun, onArrival });
    this.born = Date.now();
    this.running = 0;
    this.server = http.createServer((req, res) => this.serve(req, res));
    this.server.keepAliveTimeout = 5_000;
  }

  async listen(ip) {
    await new Promise((resolve) => this.server.listen(0, ip, resolve));
    this.address = `${ip}:${this.server.address().port}`;
  }

  entry(state = 'ready') {
    return {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: 'v1',
      slots: this.slots,
      state,
      'cold-left-ms': 0,
      seq: 0,
      born: this.born,
    };
  }

  close() {
    this.server.closeAllConnections();
    this.server.close();
  }

  async serve(req, res) {
    const chunks = [];
    try {
      for await (const chunk of req) chunks.push(chunk);
    } catch {
      return;
    }
    const id = req.headers['x-camphorvane-request-id'];
    const expected = req.headers['x-camphorvane-expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      res.writeHead(421, { 'x-camphorvane-instance-id': this.id }).end();
      return;
    }
    if (req.url === '/health') {
      res.writeHead(200, { 'x-camphorvane-instance-id': this.id }).end();
      return;
    }
    this.onArrival(id, req, Buffer.concat(chunks));
    if (this.running >= this.slots) {
      res.writeHead(503, { 'x-camphorvane-not-executed': '1' }).end();
      return;
    }
    this.running += 1;
    this.onRun(id, req, Buffer.concat(chunks));
    await sleep(this.workMs(id, req));
    this.running -= 1;
    if (res.destroyed) return;
    const body = `answer to ${id} by ${this.id}`;
    res.writeHead(200, {
      'content-length': Buffer.byteLength(body),
      'x-camphorvane-request-id': id,
      'x-camphorvane-server-stamp': `${this.id}.${id}`,
    });
    res.end(body);
  }
}

/** The `run` line and the folder of deploy/system.toml. */
function runLine() {
  const text = fs.readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
}

/** One machine with one process of the system, which the platform starts again when it has ended. */
export class Machine {
  constructor({ name, ip, zone = 'akl-a', store, settings = {} }) {
    Object.assign(this, { name, ip, zone, store, settings });
    this.folder = fs.mkdtempSync(path.join(os.tmpdir(), 'camphorvane-review-'));
    this.ends = [];
    this.isWanted = false;
  }

  async prepare() {
    const ports = new Set();
    while (ports.size < 5) ports.add(await freePort(this.ip));
    [this.front, this.ready, this.control, this.directory, this.peer] = [...ports];
  }

  writeSettings(seeds = []) {
    const bounds = {
      'seed-lag-s': 3,
      'addr-reuse-s': 2,
      'stable-window-ms': 3000,
      'ack-ms': 4000,
      'catch-up-s': 4,
      'drain-ms': 2000,
      'grace-s': 8,
      'loss-slack-ms': 200,
      'config-ms': 2000,
      'rollback-slack-ms': 250,
      'skew-max-ms': 5000,
      'strict-revoke': false,
      'revoke-ms': 5000,
      'retry-budget-ratio': 0.2,
      'budget-window-s': 10,
      'budget-slack': 52,
      'quota-window-s': 8,
      'quota-over': 0.1,
      'quota-slack': 120000,
      'recover-s': 12,
      'transit-ms': 120,
      'retry-after-s': 3,
      'require-fence': false,
      'lease-ms': 3000,
      'thaw-ms': 300,
      ttl_max_s: 5,
    };
    const fields = {
      node: this.name,
      role: 'host',
      'machine-class': 'front',
      serves: 'front,directory',
      ip: this.ip,
      zone: this.zone,
      region: 'nz-north',
      'zones.akl-a': 'nz-north',
      'listen.front': `${this.ip}:${this.front}`,
      'listen.ready': `${this.ip}:${this.ready}`,
      'listen.directory': `${this.ip}:${this.directory}`,
      'port-range': `${this.peer},${this.peer}`,
      seeds: seeds.join(','),
      bootstrap: true,
      'in-tolerance': false,
      'limits.cpu-share': 0.675,
      'limits.cores': 1,
      'limits.memory-mb': 200,
      'limits.max-fds': 4100,
      'limits.link-mbps': 1000.0,
      'limits.disk-mb': 0,
      discovery: 'platform',
      entry: 'directory',
      'heartbeat-ms': 1200,
      contracts: 'base,drain,config,cost,retry,recover,split,stream,engine,tenants,quota,platform',
      'fault-tolerance.machines': 2,
      'fault-tolerance.zones': 0,
      'fault-tolerance.regions': 0,
      ...Object.fromEntries(
        Object.entries(bounds).map(([name, value]) => [`bounds.${name}`, value]),
      ),
      'platform.address': this.store.address,
      'platform.form': 'objects',
      'platform.writes-per-s': 400,
      'platform.reads-per-s': 2000,
      'platform.history-s': 20,
      'platform.value-bytes': 1048576,
      'platform.ttl-min-ms': 1000,
      ...this.settings,
    };
    this.file = path.join(this.folder, 'settings.conf');
    fs.writeFileSync(
      this.file,
      `${Object.entries(fields)
        .map(([key, value]) => `${key}=${value}`)
        .join('\n')}\n`,
    );
  }

  start() {
    const [command, ...args] = runLine();
    const { PATH, HOME, LANG } = process.env;
    const log = fs.openSync(path.join(this.folder, 'log.txt'), 'a');
    const child = spawn(command, args, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, CAMPHORVANE_CONFIG: this.file },
      stdio: ['ignore', log, log],
    });
    fs.closeSync(log);
    this.child = child;
    this.startedAt = now();
    this.ended = new Promise((resolve) => {
      child.once('exit', (code, signal) => {
        this.ends.push({ at: now(), code, signal });
        resolve({ code, signal });
      });
    });
  }

  kill(signal) {
    if (this.child && this.child.exitCode === null && this.child.signalCode === null)
      this.child.kill(signal);
  }

  async isReady() {
    try {
      const { status } = await exchange({
        ip: this.ip,
        port: this.ready,
        method: 'GET',
        path: '/ready',
        timeoutMs: 1000,
      });
      return status === 200;
    } catch {
      return false;
    }
  }

  async untilReady(ms = 15_000) {
    const until = now() + ms;
    while (now() < until) {
      if (await this.isReady()) return true;
      await sleep(50);
    }
    return false;
  }

  async stop() {
    this.kill('SIGKILL');
    await Promise.race([this.ended, sleep(3_000)]);
    if (!process.env.KEEP) fs.rmSync(this.folder, { recursive: true, force: true });
    else console.log(this.name, this.folder);
  }
}

/** Sends one request; rejects where the connection ends without a complete answer. */
export function exchange({
  ip,
  port,
  method = 'POST',
  path: target,
  headers = {},
  body,
  timeoutMs = 15_000,
  agent = false,
}) {
  return new Promise((resolve, reject) => {
    const req = http.request({ host: ip, port, method, path: target, headers, agent }, (res) => {
      const chunks = [];
      res.on('data', (chunk) => chunks.push(chunk));
      res.on('end', () => {
        if (!res.complete) reject(new Error('answer broke off'));
        else
          resolve({
            status: res.statusCode,
            headers: res.headers,
            body: Buffer.concat(chunks).toString(),
          });
      });
      res.on('error', reject);
    });
    req.setTimeout(timeoutMs, () => req.destroy(new Error('no answer in time')));
    req.on('error', reject);
    req.end(body);
  });
}

/** A configuration as the operator writes it. */
export function configOf({ version, routes, services, tenants, limits = {} }) {
  return {
    version,
    routes: routes.map((route) => ({
      host: 'ficu95.example',
      kind: 'unsafe',
      'timeout-ms': 4000,
      'target-latency-ms': 386,
      priority: 2,
      'max-attempts': 1,
      anonymous: false,
      ...route,
    })),
    services: services.map((service) => ({
      'health-path': '/health',
      'max-conns': 96,
      protocol: 'h1',
      tls: false,
      ...service,
    })),
    limits: {
      'max-header-bytes': 16384,
      'max-body-bytes': 4194304,
      'header-timeout-ms': 3000,
      'idle-timeout-ms': 15000,
      ...limits,
    },
    tenants: tenants ?? [
      {
        name: 'huka270',
        'api-keys': ['3d3zji9n73hh2b9wu3fe'],
        priority: 1,
        unit: 'token_stream',
        'plain-tokens': 200,
        'rate-per-s': 0,
        burst: 0,
      },
    ],
  };
}

export const KEY = '3d3zji9n73hh2b9wu3fe';

/** The headers of a client's request. */
export function clientHeaders(id, deadlineMs, more = {}) {
  return {
    host: 'ficu95.example',
    'x-camphorvane-request-id': id,
    'x-camphorvane-deadline-ms': String(deadlineMs),
    authorization: `Bearer ${KEY}`,
    ...more,
  };
}

/** Runs a case, ends all that it started, saves the record and exits with 1, 0 or 2. */
export async function runCase(folder, play) {
  const record = new Record(folder);
  const ends = [];
  let code = 2;
  const guard = setTimeout(() => finish(2, 'the case took too long'), 115_000);
  const finish = async (exitCode, text) => {
    clearTimeout(guard);
    record.add(text);
    record.save();
    await Promise.allSettled(ends.map((end) => end()));
    console.log(text);
    process.exit(exitCode);
  };
  for (const signal of ['SIGINT', 'SIGTERM'])
    process.on(signal, () => finish(2, `ended by ${signal}`));
  record.add(TROUBLE ? 'with the disruption' : 'TROUBLE=0: without the disruption');
  try {
    const broken = await play({ record, onEnd: (end) => ends.push(end) });
    code = broken === undefined ? 0 : 1;
    await finish(code, broken === undefined ? 'the rule held' : `the rule was broken: ${broken}`);
  } catch (thrown) {
    await finish(2, `the case could not run: ${thrown?.stack ?? thrown}`);
  }
}

/** A model server: reads prompts, or makes the events of a stream from a handle. Drops a request whose connection closes. */
export class Engine {
  constructor({
    id,
    service,
    stage,
    handles,
    zone = 'akl-a',
    slots = 8,
    events = 70,
    eventBytes = 340,
    eventMs = 15,
    onRun = () => undefined,
    onEnd = () => undefined,
  }) {
    Object.assign(this, {
      id,
      service,
      stage,
      handles,
      zone,
      slots,
      events,
      eventBytes,
      eventMs,
      onRun,
      onEnd,
    });
    this.born = Date.now();
    this.running = 0;
    this.server = http.createServer((req, res) => this.serve(req, res));
  }

  async listen(ip) {
    await new Promise((resolve) => this.server.listen(0, ip, resolve));
    this.address = `${ip}:${this.server.address().port}`;
  }

  entry(state = 'ready') {
    const models = [{ name: 'm', version: 1, adapters: [] }];
    return {
      ...{
        service: this.service,
        address: this.address,
        zone: this.zone,
        version: 'v1',
        slots: this.slots,
        state,
      },
      ...{ 'cold-left-ms': 0, stage: this.stage, models, seq: 0, born: this.born },
    };
  }

  close() {
    this.server.closeAllConnections();
    this.server.close();
  }

  async serve(req, res) {
    const chunks = [];
    try {
      for await (const chunk of req) chunks.push(chunk);
    } catch {
      return;
    }
    const json = (status, body) =>
      res.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body));
    const expected = req.headers['x-camphorvane-expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      res.writeHead(421, { 'x-camphorvane-instance-id': this.id }).end();
      return;
    }
    if (req.url === '/health') {
      res.writeHead(200, { 'x-camphorvane-instance-id': this.id }).end();
      return;
    }
    if (req.url === '/report') {
      json(200, {
        ...{
          stage: this.stage,
          models: [{ name: 'm', version: 1, adapters: [] }],
          busy: false,
          seq: 0,
          waiting: 0,
        },
        ...{
          running: this.running,
          'kv-used': this.running * 1600,
          'kv-total': 76160,
          handles: 0,
          born: this.born,
        },
      });
      return;
    }
    if (req.url.startsWith('/kv-handle/')) {
      this.handles.delete(decodeURIComponent(req.url.slice('/kv-handle/'.length)));
      json(200, {});
      return;
    }
    if (req.url === '/kv-move') {
      json(404, {});
      return;
    }
    const id = req.headers['x-camphorvane-request-id'];
    const [tokens = 200] = (req.headers['x-camphorvane-token-count'] ?? '200,70')
      .split(',')
      .map(Number);
    if ((req.headers['x-camphorvane-stage'] === 'prefill') !== (this.stage === 'prefill')) {
      res.writeHead(421, { 'x-camphorvane-instance-id': this.id }).end();
      return;
    }
    const refuse = () => res.writeHead(503, { 'x-camphorvane-not-executed': '1' }).end();
    if (this.running >= this.slots) {
      refuse();
      return;
    }
    this.running += 1;
    if (this.stage === 'prefill') {
      await sleep(tokens / 55);
      const handle = newId('h').replace('-', '');
      this.handles.set(handle, now() + 500);
      this.running -= 1;
      json(200, { 'prefill-handle': handle, tokens, version: 1 });
      return;
    }
    const source = req.headers['x-camphorvane-kv-source']?.split('/')[1];
    const until = source === undefined ? Infinity : this.handles.get(source);
    this.handles.delete(source);
    if (!(until > now())) {
      this.running -= 1;
      refuse();
      return;
    }
    if (source === undefined) await sleep((2 * tokens) / 55);
    this.onRun(id, req);
    res.writeHead(200, {
      'content-type': 'text/event-stream',
      'x-camphorvane-request-id': id,
      'x-camphorvane-server-stamp': `${this.id}.${id}`,
    });
    let next = Number(req.headers['last-event-id'] ?? -1) + 1;
    while (next < this.events && !res.destroyed && !res.closed) {
      const head = `id: ${next}\ndata: ${id} ${next} `;
      res.write(`${head}${'.'.repeat(this.eventBytes - head.length - 2)}\n\n`);
      next += 1;
      await sleep(this.eventMs);
    }
    this.running -= 1;
    this.onEnd(id, next, res.destroyed || res.closed);
    if (!res.destroyed) res.end();
  }
}
