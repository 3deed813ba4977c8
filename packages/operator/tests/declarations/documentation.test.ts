import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import path from 'node:path';
import { test } from 'node:test';
import { parseDeclarations } from '@camphorvane/operator';

const CONFIG_PAGE = path.join(import.meta.dirname, '../../../../docs/CONFIG.md');

test('the example in docs/CONFIG.md is valid', () => {
  const toml = /```toml\n([\s\S]*?)```/.exec(readFileSync(CONFIG_PAGE, 'utf8'))?.[1];
  assert.ok(toml !== undefined);
  const parsed = parseDeclarations(toml, 'docs/CONFIG.md');
  assert.ok(parsed.isOk(), JSON.stringify(parsed.isErr() && parsed.error));
  assert.equal(parsed.value.services[0]?.routes.length, 2);
});
