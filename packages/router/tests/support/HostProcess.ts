import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { freePort } from './freePort.ts';

const ENTRY = 'packages/router/src/platformMain.ts';

/** How a process ended: its exit code, or the signal that killed it. */
export interface ProcessEnd {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** A host on the users' platform as a real process, without a store that answers. */
export class HostProcess {
  readonly ended: Promise<ProcessEnd>;

  /** Port for callers, on the loopback interface. */
  readonly callerPort: number;

  private readonly child: ChildProcess;

  private text = '';

  private constructor(child: ChildProcess, folder: string, callerPort: number) {
    this.child = child;
    this.callerPort = callerPort;
    child.stdout?.on('data', (bytes: Buffer) => {
      this.text += bytes.toString();
    });
    // Unlike `exit`, this comes after the last line of the log.
    this.ended = once(child, 'close').then(([code, signal]) => {
      rmSync(folder, { recursive: true });
      return { code, signal };
    });
  }

  /**
   * Starts a host and waits until it serves.
   *
   * @param preload - Module that is loaded before the host.
   */
  static async start(preload?: string): Promise<HostProcess> {
    const folder = mkdtempSync(path.join(tmpdir(), 'camphorvane-host-'));
    const [callers, readiness, directory, peers, store] = await Promise.all([
      freePort(),
      freePort(),
      freePort(),
      freePort(),
      freePort(),
    ]);
    const file = path.join(folder, 'settings');
    writeFileSync(
      file,
      [
        ...['node=h-1', 'zone=a', 'ip=127.0.0.1', 'bounds.grace-s=8'],
        ...[`listen.front=127.0.0.1:${callers}`, `listen.ready=127.0.0.1:${readiness}`],
        ...[`listen.directory=127.0.0.1:${directory}`, `port-range=${peers},${peers}`],
        `platform.address=127.0.0.1:${store}`,
      ].join('\n'),
    );
    const preloads = preload === undefined ? [] : ['--import', path.resolve(preload)];
    const child = spawn(process.execPath, ['--import', 'tsx', ...preloads, ENTRY], {
      env: { PATH: process.env.PATH ?? '', CAMPHORVANE_CONFIG: file },
      stdio: ['ignore', 'pipe', 'ignore'],
    });
    const host = new HostProcess(child, folder, callers);
    await host.untilLogged('start');
    return host;
  }

  /** Waits until the host has logged an event, or has ended. */
  async untilLogged(event: string): Promise<void> {
    while (!this.hasLogged(event) && this.child.exitCode === null) {
      await new Promise((resolve) => {
        setTimeout(resolve, 20);
      });
    }
  }

  /** Tells whether the host has logged an event. */
  hasLogged(event: string): boolean {
    return this.text.includes(`"event":"${event}"`);
  }

  /** Sends a signal to the host. */
  kill(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }
}
