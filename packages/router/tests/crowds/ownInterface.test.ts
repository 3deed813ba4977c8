import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { connect } from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { test } from 'node:test';
import { setTimeout } from 'node:timers/promises';
import { freePort } from '../support/freePort.ts';

/** Limits of the process: its JavaScript heap and its memory, in MB, and its descriptors. */
const HEAP_MB = 64;
const MEMORY_MB = 260;
const MAX_FDS = 200;

const CLIENTS = 30;

/** Bytes of each body, in chunks of one byte, without the last chunk. */
const BODY_BYTES = 300_000;

const STAY_MS = 5_000;

const HEAD = 'POST /services/a/b HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n';

function settings(callers: number, peers: number, operators: number, platform: number): string {
  const listen = (port: number): string => `ip = "127.0.0.1"\nport = ${port}\n`;
  const credential = `credential = "${'s'.repeat(32)}"\n`;
  return [
    '[host]\nid = "h-1"\nzone = "a"\n',
    `[callers]\n${listen(callers)}`,
    `[peers]\n${listen(peers)}${credential}`,
    `[operators]\n${listen(operators)}${credential}`,
    `[platform]\nurl = "http://127.0.0.1:${platform}"\nfleetHosts = 1\n`,
  ].join('\n');
}

async function isAlive(port: number): Promise<boolean> {
  const res = await fetch(`http://127.0.0.1:${port}/healthz`, {
    signal: AbortSignal.timeout(20_000),
  }).catch(() => undefined);
  return res?.ok === true;
}

// Guards against clients that end a host of the product's own interface by bodies in chunks of one byte.
test('a host of the own interface outlives a crowd of clients that send chunks of one byte', async () => {
  const folder = mkdtempSync(path.join(tmpdir(), 'own-crowd-'));
  const [port = 0, peers = 0, operators = 0, platform = 0] = await Promise.all(
    [0, 1, 2, 3].map(() => freePort()),
  );
  const file = path.join(folder, 'host.toml');
  writeFileSync(file, settings(port, peers, operators, platform));
  const command = ['packages/router/src/main.ts', 'serve', '--settings', file];
  const child = spawn(
    process.execPath,
    [`--max-old-space-size=${HEAP_MB}`, '--import', 'tsx', ...command],
    { stdio: 'ignore' },
  );
  const sockets = [];
  try {
    for (let n = 0; n < 100 && !(await isAlive(port)); n += 1) await setTimeout(100);
    const body = Buffer.from('1\r\nx\r\n'.repeat(BODY_BYTES));
    sockets.push(
      ...Array.from({ length: CLIENTS }, () => {
        const socket = connect(port, '127.0.0.1');
        socket.on('error', () => undefined);
        socket.resume();
        socket.write(HEAD);
        socket.write(body);
        return socket;
      }),
    );
    await setTimeout(STAY_MS);
    const { pid } = child;
    assert.equal(child.exitCode ?? child.signalCode, null);
    const fds = readdirSync(`/proc/${pid ?? ''}/fd`).length;
    sockets.forEach((socket) => socket.destroy());
    assert.equal(await isAlive(port), true);
    const status = readFileSync(`/proc/${pid ?? ''}/status`, 'utf8');
    const peakMb = Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1] ?? Infinity) / 1_024;
    assert.ok(peakMb <= MEMORY_MB, `${peakMb} MB`);
    assert.ok(fds <= MAX_FDS, `${fds} descriptors`);
  } finally {
    sockets.forEach((socket) => socket.destroy());
    child.kill('SIGKILL');
    rmSync(folder, { recursive: true });
  }
});
