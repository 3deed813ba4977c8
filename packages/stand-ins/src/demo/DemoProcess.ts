import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import type { Clock, Millis } from '@camphorvane/core';

const READY_LIMIT_MS: Millis = 30_000;
const STOP_LIMIT_MS: Millis = 5000;
const KEPT_OUTPUT = 2000;

/** A process that the demo started, and ends. */
export class DemoProcess {
  private output = '';

  private readonly exited: Promise<void>;

  private constructor(
    readonly name: string,
    private readonly child: ChildProcess,
    private readonly clock: Clock,
  ) {
    this.exited = new Promise((resolve) => {
      child.once('exit', () => resolve());
      child.once('error', () => resolve());
    });
    const keep = (chunk: Buffer): void => {
      this.output = (this.output + chunk.toString('utf8')).slice(-KEPT_OUTPUT);
    };
    child.stdout?.on('data', keep);
    child.stderr?.on('data', keep);
  }

  /**
   * Starts a TypeScript program in a process of its own.
   *
   * @param name - Names it in messages.
   * @param args - Path of the program and its arguments.
   * @param clock - Judges how long it takes.
   * @returns The process.
   */
  static start(name: string, args: readonly string[], clock: Clock): DemoProcess {
    const child = spawn(process.execPath, ['--import', 'tsx', ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    return new DemoProcess(name, child, clock);
  }

  /** Gets the last of what the process printed. */
  get lastOutput(): string {
    return this.output;
  }

  /** Tells whether the process has ended. */
  get hasEnded(): boolean {
    return this.child.exitCode !== null || this.child.signalCode !== null;
  }

  /**
   * Waits until the process says on which port it listens.
   *
   * @returns The port, or undefined where it ended or took too long.
   */
  async port(): Promise<number | undefined> {
    const until = this.clock.now() + READY_LIMIT_MS;
    let found = this.printedPort();
    while (found === undefined && !this.hasEnded && this.clock.now() < until) {
      await new Promise<void>((resolve) => {
        this.clock.after(50, resolve);
      });
      found = this.printedPort();
    }
    return found;
  }

  /** Ends the process: politely first, then at once. */
  async stop(): Promise<void> {
    if (this.hasEnded) return;
    this.child.kill('SIGTERM');
    const cancel = this.clock.after(STOP_LIMIT_MS, () => this.child.kill('SIGKILL'));
    await this.exited;
    cancel();
  }

  private printedPort(): number | undefined {
    const port = /127\.0\.0\.1:(\d+)/.exec(this.output)?.[1];
    return port === undefined ? undefined : Number(port);
  }
}
