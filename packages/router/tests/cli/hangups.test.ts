import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import { onHangup } from '../../src/cli/hangups.ts';

// Operators change settings and send SIGHUP while a host is still starting. A process without a listener
// for the signal is ended by it, and its callers have to wait for a restart.
test('a SIGHUP received during the start is handled once the host has started', async () => {
  process.kill(process.pid, 'SIGHUP');
  await wait(50);
  let reloads = 0;
  onHangup(() => {
    reloads += 1;
  });
  assert.equal(reloads, 1);
  process.kill(process.pid, 'SIGHUP');
  await wait(50);
  assert.equal(reloads, 2);
});

test('the entry point of the platform listens for SIGHUP before it loads other modules', () => {
  const text = readFileSync('packages/router/src/platformMain.ts', 'utf8');
  const [first] = text.split('\n').filter((line) => line.startsWith('import'));
  assert.equal(first, "import './cli/hangups.ts';");
});
