import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import type { Clock, Millis } from '@camphorvane/core';

const READY_TIMEOUT_MS: Millis = 30_000;
const STOP_TIMEOUT_MS: Millis = 5000;
const MAX_OUTPUT_CHARS = 2000;

/** A child process of the demo. */
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
    const appendOutput = (chunk: Buffer): void => {
      this.output = (this.output + chunk.toString('utf8')).slice(-MAX_OUTPUT_CHARS);
    };
    child.stdout?.on('data', appendOutput);
    child.stderr?.on('data', appendOutput);
  }

  /**
   * Starts a TypeScript program in a child process.
   *
   * @param name - Name of the process in messages.
   * @param args - Path of the program and its arguments.
   * @param clock - Clock for the timeouts.
   * @returns The process.
   */
  static start(name: string, args: readonly string[], clock: Clock): DemoProcess {
    const child = spawn(process.execPath, ['--import', 'tsx', ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    return new DemoProcess(name, child, clock);
  }

  /** Gets the tail of the output of the process. */
  get lastOutput(): string {
    return this.output;
  }

  /** Tells whether the process has exited. */
  get hasExited(): boolean {
    return this.child.exitCode !== null || this.child.signalCode !== null;
  }

  /**
   * Waits until the process prints the port that it listens on.
   *
   * @returns The port, or undefined if the process exited or the wait timed out.
   */
  async waitForPort(): Promise<number | undefined> {
    const deadline = this.clock.now() + READY_TIMEOUT_MS;
    let found = this.printedPort();
    while (found === undefined && !this.hasExited && this.clock.now() < deadline) {
      await new Promise<void>((resolve) => {
        this.clock.after(50, resolve);
      });
      found = this.printedPort();
    }
    return found;
  }

  /** Stops the process with SIGTERM, and with SIGKILL if it has not exited after the timeout. */
  async stop(): Promise<void> {
    if (this.hasExited) return;
    this.child.kill('SIGTERM');
    const cancelKill = this.clock.after(STOP_TIMEOUT_MS, () => this.child.kill('SIGKILL'));
    await this.exited;
    cancelKill();
  }

  private printedPort(): number | undefined {
    const port = /127\.0\.0\.1:(\d+)/.exec(this.output)?.[1];
    return port === undefined ? undefined : Number(port);
  }
}
