import type { Clock, Millis } from '@camphorvane/core';
import { request } from 'undici';
import { EXIT, type CommandResult } from './CommandResult.ts';
import { renderDump } from './renderDump.ts';

/** A host's operators' port, and what opens it. */
export interface HostTarget {
  /** `ip:port` of the operators' port. */
  readonly address: string;
  readonly credential: string;
  readonly clock: Clock;
}

/** A host that is busy answers within this time; one that does not is told as not answering. */
const TIMEOUT_MS: Millis = 5000;

/** Gets the state dump of a host. */
export function dumpCommand(target: HostTarget): Promise<CommandResult> {
  return ask(target, 'GET', '/v1/dump');
}

/** Gets the state of a host in a line. */
export function statusCommand(target: HostTarget): Promise<CommandResult> {
  return ask(target, 'GET', '/v1/status');
}

/** Tells a host to drain. */
export function drainCommand(target: HostTarget): Promise<CommandResult> {
  return ask(target, 'POST', '/v1/drain');
}

async function ask(
  target: HostTarget,
  method: 'GET' | 'POST',
  path: string,
): Promise<CommandResult> {
  const abort = new AbortController();
  const cancel = target.clock.after(TIMEOUT_MS, () => abort.abort());
  try {
    const res = await request(`http://${target.address}${path}`, {
      method,
      headers: { authorization: `Bearer ${target.credential}` },
      signal: abort.signal,
    });
    return answered(res.statusCode, await res.body.json());
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    const text = `${target.address} does not answer: ${reason}`;
    return { exitCode: EXIT.unavailable, text, json: { ok: false, message: text } };
  } finally {
    cancel();
  }
}

function answered(status: number, body: unknown): CommandResult {
  if (status < 300) return { exitCode: EXIT.ok, text: renderDump(body), json: body };
  return { exitCode: EXIT.refused, text: renderDump(body), json: body };
}
