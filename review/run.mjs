/* eslint-disable */
// Starts the project's program as separate processes, and sends requests to it as clients do.
import { spawn } from 'node:child_process';
import { createServer } from 'node:net';
import { createSocket } from 'node:dgram';
import { request } from 'node:http';
import { mkdtempSync, openSync, readFileSync, rmSync, writeFileSync, existsSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { randomBytes } from 'node:crypto';
import { Store } from './store.mjs';
import { World } from './servers.mjs';

export const HOST_NAME = 'ficu95.example';
export const KEY = 'key-of-huka270';
const ROOT = path.resolve(import.meta.dirname, '..');

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** The deployment of a case: a store, servers and hosts on loopback addresses of their own. */
export class Deployment {
  hosts = [];
  servers = [];
  world = new World();
  store = new Store();
  lines = [];

  constructor(caseFolder) {
    this.caseFolder = caseFolder;
    this.folder = mkdtempSync(path.join(tmpdir(), 'camphorvane-review-'));
    const n = process.pid;
    const fail = (error) => {
      console.error(error);
      void this.finish(2, `the case could not run: ${error?.message ?? error}`);
    };
    process.once('uncaughtException', fail);
    process.once('unhandledRejection', fail);
    ['SIGTERM', 'SIGINT', 'SIGHUP'].forEach((name) =>
      process.once(name, () => fail(new Error(`ended by ${name}`))),
    );
    // Also where this process ends in another way, no host stays behind.
    process.once('exit', () => this.hosts.forEach((host) => host.child?.kill('SIGKILL')));
    setTimeout(
      () => fail(new Error('the case took too long')),
      Number(process.env.CAP ?? 100_000),
    ).unref();
    this.prefix = `127.${64 + (n % 128)}.${1 + (Math.floor(n / 128) % 250)}`;
  }

  ip(n) {
    return `${this.prefix}.${n}`;
  }

  note(text) {
    this.lines.push(`${String(this.world.now()).padStart(6)} ms  ${text}`);
  }

  async startStore() {
    const [port] = await freePorts(this.ip(250), 1);
    this.storeAddress = `${this.ip(250)}:${port}`;
    await this.store.listen(this.ip(250), port);
  }

  async addServer(server) {
    this.servers.push(server);
    await server.start();
    return server;
  }

  async addHost(name, zone, bounds = {}, storeAddress = this.storeAddress) {
    if (!existsSync(path.join(ROOT, 'target/camphorvane.cjs')))
      throw new Error('target/camphorvane.cjs is not built');
    const host = new HostProcess(
      this,
      name,
      zone,
      this.ip(this.hosts.length + 1),
      bounds,
      storeAddress,
    );
    await host.prepare();
    this.hosts.push(host);
    host.start();
    return host;
  }

  /** Writes the record, ends all processes and exits with the result. */
  async finish(code, summary) {
    if (this.isFinished) return new Promise(() => undefined);
    this.isFinished = true;
    this.note(summary);
    for (const host of this.hosts) await host.end();
    this.servers.forEach((server) => server.stop());
    this.store.close();
    const arrivals = this.world.arrivals.map(
      ({ at, id, server, isPrefill, last, ranAt, endedAt, status, events }) =>
        `${String(at).padStart(6)} ms  server ${server} got ${id}${isPrefill ? ' (prefill only)' : ''}${last === undefined ? '' : ` to go on after event ${last}`}` +
        `${ranAt === undefined ? '' : `, ran it at ${ranAt}`}${events === undefined ? '' : `, sent ${events} events`}, status ${status ?? 'none'}, end ${endedAt ?? 'none'}`,
    );
    writeFileSync(
      path.join(this.caseFolder, 'record.txt'),
      [...this.lines, '', '-- what servers got --', ...arrivals, ''].join('\n'),
    );
    rmSync(this.folder, { recursive: true, force: true });
    console.log(summary);
    process.exit(code);
  }
}

export class HostProcess {
  exits = [];

  constructor(deployment, name, zone, ip, bounds, storeAddress) {
    Object.assign(this, { deployment, name, zone, ip, bounds, storeAddress });
  }

  async prepare() {
    const [front, ready, directory, peer] = await freePorts(this.ip, 4);
    this.front = { ip: this.ip, port: front };
    this.ready = { ip: this.ip, port: ready };
    this.directory = { ip: this.ip, port: directory };
    this.settings = path.join(this.deployment.folder, `${this.name}.conf`);
    this.log = path.join(this.deployment.folder, `${this.name}.log`);
    const bounds = {
      'stable-window-ms': 3000,
      'drain-ms': 2000,
      'grace-s': 8,
      'loss-slack-ms': 200,
      'config-ms': 2000,
      'retry-budget-ratio': 0.2,
      'budget-window-s': 10,
      'budget-slack': 58,
      'quota-window-s': 8,
      'quota-over': 0.1,
      'quota-slack': 120000,
      'retry-after-s': 5,
      'require-fence': false,
      'lease-ms': 3000,
      'thaw-ms': 300,
      ttl_max_s: 5,
      'strict-revoke': false,
      'revoke-ms': 5000,
      ...this.bounds,
    };
    const lines = [
      `node=${this.name}`,
      'role=host',
      'machine-class=front',
      'serves=front,directory',
      `ip=${this.ip}`,
      `zone=${this.zone}`,
      'region=bengal',
      'zones.kolkata-a=bengal',
      'zones.kolkata-b=bengal',
      'zones.howrah=bengal',
      `listen.front=${this.ip}:${front}`,
      `listen.ready=${this.ip}:${ready}`,
      `listen.directory=${this.ip}:${directory}`,
      `port-range=${peer},${peer}`,
      'bootstrap=true',
      'limits.cpu-share=0.675',
      'limits.cores=1',
      'limits.memory-mb=350',
      'limits.max-fds=4100',
      'discovery=platform',
      'entry=directory',
      'heartbeat-ms=1200',
      `contracts=base,drain,config,cost,retry,recover,split,stream,engine,tenants,quota,platform${process.env.CONTRACTS ?? ''}`,
      `platform.address=${this.storeAddress}`,
      'platform.form=objects',
      'platform.writes-per-s=400',
      'platform.reads-per-s=2000',
      'platform.history-s=20',
      ...Object.entries(bounds).map(([key, value]) => `bounds.${key}=${value}`),
    ];
    writeFileSync(this.settings, `${lines.join('\n')}\n`);
  }

  /** Starts the process with the command of the deploy file. */
  start() {
    const run = /^run = "(.*)"$/m
      .exec(readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8'))[1]
      .split(' ');
    const [program, ...args] = run;
    const log = openSync(this.log, 'a');
    const child = spawn(program === 'node' ? process.execPath : program, args, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH ?? '',
        HOME: this.deployment.folder,
        CAMPHORVANE_CONFIG: this.settings,
      },
      stdio: ['ignore', log, log],
    });
    this.child = child;
    this.isExpectedToEnd = false;
    child.once('exit', (code, signal) => {
      const end = {
        at: this.deployment.world.now(),
        code,
        signal,
        isExpected: this.isExpectedToEnd,
      };
      this.exits.push(end);
      this.deployment.note(
        `host ${this.name} ended: code ${code}, signal ${signal}${end.isExpected ? '' : ', by itself'}`,
      );
      if (this.child === child) this.child = undefined;
    });
  }

  signal(name) {
    this.deployment.note(`${name} to host ${this.name}`);
    this.child?.kill(name);
  }

  async isReady() {
    const answer = await httpCall({ ...this.ready, method: 'GET', path: '/ready' }, 1_000);
    return answer.status === 200;
  }

  async waitUntilReady(ms = 15_000) {
    const until = Date.now() + ms;
    while (Date.now() < until) {
      if (await this.isReady()) return true;
      await sleep(100);
    }
    return false;
  }

  logTail(lines = 20) {
    return readFileSync(this.log, 'utf8').trimEnd().split('\n').slice(-lines);
  }

  async end() {
    this.isExpectedToEnd = true;
    const { child } = this;
    if (child === undefined) return;
    const ended = new Promise((resolve) => child.once('exit', resolve));
    child.kill('SIGKILL');
    await ended;
  }
}

/** Sends one request; resolves with status, headers, body and whether the answer was complete. */
export function httpCall(
  { ip, port, method, path: url, headers = {}, body = '', agent },
  timeoutMs,
  onHead,
) {
  return new Promise((resolve) => {
    const chunks = [];
    let head;
    let isDone = false;
    let resolveEnded;
    const ended = new Promise((done) => {
      resolveEnded = done;
    });
    const finish = (end) => {
      if (isDone) return;
      isDone = true;
      resolveEnded();
      clearTimeout(timer);
      resolve({
        status: head?.statusCode,
        headers: head?.headers ?? {},
        body: Buffer.concat(chunks).toString(),
        ...end,
      });
    };
    const req = request({ host: ip, port, method, path: url, headers, agent: agent ?? false });
    const timer = setTimeout(() => {
      finish({ isComplete: false, error: 'the client gave up' });
      req.destroy();
    }, timeoutMs);
    let wasReset = false;
    // Node reports a reset that comes with the last bytes as an end; the socket then has no remote address.
    req.once('socket', (socket) => {
      const onEnd = () => {
        wasReset = socket.remoteAddress === undefined;
      };
      socket.prependOnceListener('end', onEnd);
      ended.then(() => socket.off('end', onEnd));
    });
    req.once('response', (res) => {
      head = res;
      onHead?.(res);
      res.on('data', (chunk) => chunks.push(chunk));
      res.once('end', () =>
        finish(wasReset ? { isComplete: false, error: 'reset' } : { isComplete: res.complete }),
      );
      res.once('error', (error) => finish({ isComplete: false, error: error.message }));
      res.once('close', () => finish({ isComplete: res.complete }));
    });
    req.once('error', (error) => finish({ isComplete: false, error: error.message }));
    req.end(body);
  });
}

export function newId() {
  return randomBytes(8).toString('hex');
}

/** Headers of a client's request; with `tokens`, those of a request to a model. */
export function clientHeaders(id, deadlineMs, tokens) {
  return {
    host: HOST_NAME,
    'x-camphorvane-request-id': id,
    'x-camphorvane-deadline-ms': String(deadlineMs),
    authorization: `Bearer ${KEY}`,
    ...(tokens === undefined
      ? {}
      : {
          'x-camphorvane-model': 'm',
          'x-camphorvane-token-count': tokens.join(','),
          'x-camphorvane-prompt-prefix': `5c1e07a2:200,${id}:${tokens[0] - 200}`,
        }),
  };
}

/** The configuration of a small deployment, with the values of the sheet of gandhabani-vane. */
export function configOf(version, changes = {}) {
  const route = (prefix, kind, service, more) => ({
    name: `r-${prefix.slice(1, -1)}`,
    host: HOST_NAME,
    'path-prefix': prefix,
    kind,
    'timeout-ms': 800,
    'target-latency-ms': 300,
    priority: 2,
    service,
    'max-attempts': 2,
    anonymous: false,
    ...more,
  });
  const stream = {
    'timeout-ms': 14_000,
    'target-latency-ms': 900,
    priority: 1,
    'session-affinity': true,
    'gap-aim-ms': 300,
  };
  return {
    version,
    routes: [
      route('/blend/', 'streaming', 'attar-llm', {
        ...stream,
        'max-attempts': 1,
        resumable: false,
      }),
      route('/digest/', 'streaming', 'attar-llm', { ...stream, resumable: true }),
      route('/reserve/', 'unsafe', 'ledger-app', { 'max-attempts': 1, ...changes.reserve }),
      route('/lookup/', 'safe', 'ledger-app', { ...changes.lookup }),
    ],
    services: [
      {
        name: 'attar-llm',
        'health-path': '/health',
        'max-conns': 310,
        protocol: 'h1',
        tls: false,
        engine: {
          slots: 48,
          'kv-tokens': 76_160,
          'kv-token-bytes': 163_840,
          'link-mbps': 4_800_000,
          moves: true,
          backups: true,
          stride: 1,
          most: 12,
          'handle-ttl-s': 0.5,
          'stage-switch-s': 6,
          'pin-ms': 4_000,
          'hold-ms': 2_000,
          models: [{ name: 'm' }],
        },
      },
      {
        name: 'ledger-app',
        'health-path': '/health',
        'max-conns': 110,
        protocol: 'h1',
        tls: false,
      },
    ],
    limits: {
      'max-header-bytes': 16_384,
      'max-body-bytes': 4_194_304,
      'header-timeout-ms': 3_000,
      'idle-timeout-ms': 15_000,
    },
    tenants: [
      {
        name: 'huka270',
        'api-keys': [KEY],
        priority: 1,
        unit: 'token_stream',
        'plain-tokens': 200,
        'rate-per-s': 1_000_000,
        burst: 1_000_000,
        ...changes.tenant,
      },
    ],
  };
}

/** Finds ports that are free at an address, for TCP and UDP. */
export async function freePorts(ip, count) {
  const held = [];
  const ports = [];
  while (ports.length < count) {
    const server = createServer();
    await new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(0, ip, resolve);
    });
    held.push(server);
    const { port } = server.address();
    const socket = createSocket('udp4');
    const isFree = await new Promise((resolve) => {
      socket.once('error', () => resolve(false));
      socket.bind(port, ip, () => resolve(true));
    });
    if (isFree) await new Promise((resolve) => socket.close(resolve));
    if (isFree) ports.push(port);
  }
  await Promise.all(held.map((server) => new Promise((resolve) => server.close(resolve))));
  return ports;
}
