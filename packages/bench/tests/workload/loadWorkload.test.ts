import assert from 'node:assert/strict';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { test } from 'node:test';
import { loadWorkload } from '@camphorvane/bench';

const dir = mkdtempSync(path.join(tmpdir(), 'workload-'));
test.after(() => rmSync(dir, { recursive: true }));

const messageFor = (text: string): string => {
  const file = path.join(dir, 'own.toml');
  writeFileSync(file, text);
  return loadWorkload(file).match(
    () => 'accepted',
    (error) => error.message,
  );
};

const BASE = path.join(import.meta.dirname, '../../workloads/tasman-calm.toml');

test('names the key that is wrong, or the team that is missing', () => {
  assert.match(messageFor('name = "x"'), /seconds/);
  assert.match(messageFor(`extends = "${BASE}"\nload = -1`), /load/);
  assert.match(messageFor(`extends = "${BASE}"\nlaod = 1`), /laod/);
  assert.match(messageFor(`extends = "${BASE}"\nteamLoad = { nobody = 5 }`), /nobody/);
  assert.match(messageFor('extends = "own.toml"'), /extends/);
  assert.equal(messageFor(`extends = "${BASE}"\nload = 2`), 'accepted');
});
