import { randomBytes } from 'node:crypto';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import type { Clock } from '@camphorvane/core';
import { DemoProcess } from './DemoProcess.ts';
import { freePort } from './freePort.ts';
import { hostSettings } from './hostSettings.ts';

const STAND_INS_MAIN = fileURLToPath(new URL('../main.ts', import.meta.url));
const ROUTER_MAIN = fileURLToPath(new URL('../../../router/src/main.ts', import.meta.url));
const ZONES = ['zone-1', 'zone-2', 'zone-3'];
const CREDENTIAL_BYTES = 24;

/** Addresses of the processes of the demo. */
export interface DemoAddresses {
  readonly platform: string;
  readonly prefill: readonly string[];
  readonly decode: readonly string[];
  readonly certificates: string;
  /** `ip:port` of the caller API of each host. */
  readonly hosts: readonly string[];
}

/** The processes of the demo: stand-ins and hosts, each on its own loopback ports. */
export class DemoFleet {
  private readonly processes: DemoProcess[] = [];

  private readonly dir = mkdtempSync(path.join(tmpdir(), 'camphorvane-demo-'));

  private readonly credential = randomBytes(CREDENTIAL_BYTES).toString('hex');

  constructor(private readonly clock: Clock) {}

  /** Starts the stand-ins and the hosts. */
  async start(): Promise<DemoAddresses> {
    const url = (port: number): string => `http://127.0.0.1:${port}`;
    const startEngine = (id: string, role: string): Promise<number> =>
      this.startStandIn(id, ['engine', '--id', id, '--role', role]);
    const [platform, certificates, ...engines] = await Promise.all([
      this.startStandIn('platform', ['platform']),
      this.startStandIn('certificates-1', ['service', '--id', 'certificates-1']),
      startEngine('p1', 'prefill'),
      startEngine('p2', 'prefill'),
      startEngine('d1', 'decode'),
      startEngine('d2', 'decode'),
    ]);
    const urls = engines.map(url);
    const hosts = await Promise.all(
      ZONES.map((zone, i) => this.startHost(`h${i + 1}`, zone, platform)),
    );
    return {
      platform: url(platform),
      prefill: urls.slice(0, 2),
      decode: urls.slice(2),
      certificates: url(certificates),
      hosts,
    };
  }

  /** Gets the processes that have exited; before {@link stop} these are unexpected exits. */
  exitedProcesses(): readonly DemoProcess[] {
    return this.processes.filter((proc) => proc.hasExited);
  }

  /** Stops all processes; signals hosts first, so that they can leave the fleet. */
  async stop(): Promise<void> {
    await Promise.all([...this.processes].reverse().map((proc) => proc.stop()));
    rmSync(this.dir, { recursive: true, force: true });
  }

  private startStandIn(name: string, args: readonly string[]): Promise<number> {
    return this.launch(name, [STAND_INS_MAIN, ...args]);
  }

  private async startHost(id: string, zone: string, platformPort: number): Promise<string> {
    const [callers, peers, operators] = await Promise.all([freePort(), freePort(), freePort()]);
    const file = path.join(this.dir, `${id}.toml`);
    const { credential } = this;
    writeFileSync(
      file,
      hostSettings({ id, zone, callers, peers, operators, platformPort, credential }),
    );
    await this.launch(id, [ROUTER_MAIN, 'serve', '--settings', file]);
    return `127.0.0.1:${callers}`;
  }

  private async launch(name: string, args: readonly string[]): Promise<number> {
    const started = DemoProcess.start(name, args, this.clock);
    this.processes.push(started);
    const port = await started.waitForPort();
    if (port === undefined) throw new Error(`${name} did not start: ${started.lastOutput}`);
    return port;
  }
}
