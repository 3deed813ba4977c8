import type { Clock, Millis } from '@camphorvane/core';
import { request } from 'undici';
import { EXIT, type CommandResult } from './CommandResult.ts';
import { renderDump } from './renderDump.ts';

/** The operator port of a host and its credential. */
export interface HostTarget {
  /** `ip:port` of the operator port. */
  readonly address: string;
  /** The operator credential. */
  readonly credential: string;
  readonly clock: Clock;
}

/** Request timeout; a busy host responds within it. */
const TIMEOUT_MS: Millis = 5000;

/** Gets the state dump of a host. */
export function dumpCommand(target: HostTarget): Promise<CommandResult> {
  return sendRequest(target, 'GET', '/v1/dump');
}

/** Gets the status summary of a host. */
export function statusCommand(target: HostTarget): Promise<CommandResult> {
  return sendRequest(target, 'GET', '/v1/status');
}

/** Starts to drain a host. */
export function drainCommand(target: HostTarget): Promise<CommandResult> {
  return sendRequest(target, 'POST', '/v1/drain');
}

async function sendRequest(
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
    return toCommandResult(res.statusCode, await res.body.json());
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    const text = `${target.address} does not respond: ${reason}`;
    return { exitCode: EXIT.unavailable, text, json: { ok: false, message: text } };
  } finally {
    cancel();
  }
}

function toCommandResult(status: number, body: unknown): CommandResult {
  if (status < 300) return { exitCode: EXIT.ok, text: renderDump(body), json: body };
  return { exitCode: EXIT.refused, text: renderDump(body), json: body };
}
