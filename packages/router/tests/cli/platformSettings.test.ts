import assert from 'node:assert/strict';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { afterEach, beforeEach, test } from 'node:test';
import { VirtualClock } from '@camphorvane/core';
import { awaitSettings } from '../../src/cli/platformSettings.ts';

const LINES = [
  ...['node=h-1', 'zone=a', 'ip=127.0.0.1', 'listen.front=127.0.0.1:1'],
  ...['listen.ready=127.0.0.1:2', 'listen.directory=127.0.0.1:3', 'port-range=4,4'],
  'platform.address=127.0.0.1:5',
];

const clock = new VirtualClock();
let folder = '';
let file = '';

beforeEach(() => {
  folder = mkdtempSync(path.join(tmpdir(), 'settings-'));
  file = path.join(folder, 'settings');
});

afterEach(() => rmSync(folder, { recursive: true }));

// Guards against a host that ends at its start since its settings were being written, and is missing until the next one.
test('settings that are being written as a host starts are read once they are whole', async () => {
  writeFileSync(file, LINES.slice(0, 3).join('\n'));
  const settings = awaitSettings(file, clock);
  await clock.advance(300);
  writeFileSync(file, LINES.join('\n'));
  await clock.advance(100);
  assert.equal((await settings)._unsafeUnwrap().host, 'h-1');
});

test('settings that stay wrong are refused after a second, and a file that is not named at once', async () => {
  assert.deepEqual((await awaitSettings(undefined, clock))._unsafeUnwrapErr().length, 1);
  writeFileSync(file, LINES.slice(0, 3).join('\n'));
  const startedAt = clock.now();
  const settings = awaitSettings(file, clock).then((result) => ({ result, at: clock.now() }));
  await clock.advance(2_000);
  const { result, at } = await settings;
  assert.match(result._unsafeUnwrapErr().join('\n'), /listen\.front/);
  assert.equal(at - startedAt, 1_000);
});
