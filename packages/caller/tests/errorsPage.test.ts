import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { REFUSAL_STATUS } from '@camphorvane/caller';
import { REFUSAL_CODES } from '@camphorvane/core';

test('docs/ERRORS.md lists exactly the refusal codes, each with its status', () => {
  const page = readFileSync(new URL('../../../docs/ERRORS.md', import.meta.url), 'utf8');
  const rows = [...page.matchAll(/^\| `(\w+)` +\| (\d+) +\|/gm)].map((row) => [
    row[1],
    Number(row[2]),
  ]);
  assert.deepEqual(
    rows,
    REFUSAL_CODES.map((code) => [code, REFUSAL_STATUS[code]]),
  );
});
