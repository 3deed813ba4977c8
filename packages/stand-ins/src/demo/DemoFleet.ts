import { randomBytes } from 'node:crypto';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import type { Clock } from '@camphorvane/core';
import { DemoProcess } from './DemoProcess.ts';
import { freePort } from './freePort.ts';
import { hostSettings } from './hostSettings.ts';

const STAND_INS = fileURLToPath(new URL('../main.ts', import.meta.url));
const ROUTER = fileURLToPath(new URL('../../../router/src/main.ts', import.meta.url));
const ZONES = ['zone-1', 'zone-2', 'zone-3'];
const CREDENTIAL_BYTES = 24;

/** Where everything of the demo listens. */
export interface DemoAddresses {
  readonly platform: string;
  readonly prefill: readonly string[];
  readonly decode: readonly string[];
  readonly certificates: string;
  /** `ip:port` of each host for callers. */
  readonly hosts: readonly string[];
}

/** All processes of the demo: stand-ins and hosts, each on its own loopback port. */
export class DemoFleet {
  private readonly processes: DemoProcess[] = [];

  private readonly dir = mkdtempSync(path.join(tmpdir(), 'camphorvane-demo-'));

  private readonly credential = randomBytes(CREDENTIAL_BYTES).toString('hex');

  constructor(private readonly clock: Clock) {}

  /** Starts the stand-ins and the hosts. */
  async start(): Promise<DemoAddresses> {
    const url = (port: number): string => `http://127.0.0.1:${port}`;
    const engine = (id: string, role: string): Promise<number> =>
      this.standIn(id, ['engine', '--id', id, '--role', role]);
    const [platform, certificates, ...engines] = await Promise.all([
      this.standIn('platform', ['platform']),
      this.standIn('certificates-1', ['service', '--id', 'certificates-1']),
      engine('p1', 'prefill'),
      engine('p2', 'prefill'),
      engine('d1', 'decode'),
      engine('d2', 'decode'),
    ]);
    const urls = engines.map(url);
    const hosts = await Promise.all(ZONES.map((zone, i) => this.host(`h${i + 1}`, zone, platform)));
    return {
      platform: url(platform),
      prefill: urls.slice(0, 2),
      decode: urls.slice(2),
      certificates: url(certificates),
      hosts,
    };
  }

  /** Gets the processes that have ended though nobody ended them. */
  deadProcesses(): readonly DemoProcess[] {
    return this.processes.filter((one) => one.hasEnded);
  }

  /** Ends all processes, hosts first so that they can leave. */
  async stop(): Promise<void> {
    await Promise.all([...this.processes].reverse().map((one) => one.stop()));
    rmSync(this.dir, { recursive: true, force: true });
  }

  private standIn(name: string, args: readonly string[]): Promise<number> {
    return this.launch(name, [STAND_INS, ...args]);
  }

  private async host(id: string, zone: string, platformPort: number): Promise<string> {
    const [callers, peers, operators] = await Promise.all([freePort(), freePort(), freePort()]);
    const file = path.join(this.dir, `${id}.toml`);
    const { credential } = this;
    writeFileSync(
      file,
      hostSettings({ id, zone, callers, peers, operators, platformPort, credential }),
    );
    await this.launch(id, [ROUTER, 'serve', '--settings', file]);
    return `127.0.0.1:${callers}`;
  }

  private async launch(name: string, args: readonly string[]): Promise<number> {
    const started = DemoProcess.start(name, args, this.clock);
    this.processes.push(started);
    const port = await started.port();
    if (port === undefined) throw new Error(`${name} did not start: ${started.lastOutput}`);
    return port;
  }
}
