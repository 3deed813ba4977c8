import assert from 'node:assert/strict';
import { test } from 'node:test';
import { sha256Hex } from '@camphorvane/core';
import { ConfigBuilder, newKey, parseDeclarations, toToml } from '@camphorvane/operator';
import fc from 'fast-check';
import { TOML } from '../support/declarations.ts';

function buildFleet(hasReversedTeams = false): ConfigBuilder {
  const fleet = new ConfigBuilder();
  const teams = [
    { id: 'harbour', tokensPerSecond: 4000, burstTokens: 20_000 },
    { id: 'yard', tokensPerSecond: 100, burstTokens: 500, weight: 2 },
  ];
  (hasReversedTeams ? teams.toReversed() : teams).forEach((team) => fleet.addTeam(team));
  const targets = { ttftTargetMs: 730, itlTargetMs: 35, linkPiecesPerSecond: 400 };
  const engine = { zone: 'a', memoryPieces: 320 };
  fleet
    .addPool({ model: 'lab-8b', maxTokens: 16_384, ...targets })
    .addPrefillEngine({ id: 'p1', url: 'http://127.0.0.1:9101', ...engine })
    .addDecodeEngine({ id: 'd1', url: 'http://127.0.0.1:9102', checksFencing: false, ...engine });
  fleet
    .addService({ id: 'certificates', timeoutMs: 5000 })
    .addServer({ id: 'c1', url: 'http://127.0.0.1:9201', zone: 'a', maxConcurrent: 8 })
    .addOnceOnlyRoute({ method: 'POST', path: '/issue', class: 'certificate', costTokens: 10 })
    .addRepeatableRoute({ method: 'GET', path: '/lots', class: 'lookup', costTokens: 1 });
  return fleet.addWaitRule({ class: 'summary', maxWaitMs: 60_000 });
}

test('the TOML of a builder is valid and parses back to the same configuration', () => {
  const fleet = buildFleet();
  const parsed = fleet.check();
  assert.ok(parsed.isOk(), JSON.stringify(parsed.isErr() && parsed.error));
  assert.deepEqual(toToml(parsed.value), fleet.toToml());
  assert.equal(parsed.value.services[0]?.routes[0]?.idempotent, false);
  assert.equal(parsed.value.pools[0]?.engines.length, 2);
});

test('overload controls of a builder are printed and parse back', () => {
  const parsed = buildFleet().setOverload({ streamMoves: true }).check();
  assert.ok(parsed.isOk());
  assert.equal(parsed.value.overload?.streamMoves, true);
  assert.equal(parsed.value.overload?.admission, false);
});

test('the TOML does not depend on the order in which entries were added', () => {
  assert.equal(buildFleet().toToml(), buildFleet(true).toToml());
  const parsed = parseDeclarations(TOML, 'fleet.toml');
  assert.ok(parsed.isOk());
  const printed = toToml(parsed.value);
  const again = parseDeclarations(printed, 'fleet.toml');
  assert.ok(again.isOk());
  assert.equal(toToml(again.value), printed);
});

test('the TOML of an empty builder is empty', () => {
  assert.equal(new ConfigBuilder().toToml(), '');
});

test('check reports errors of a built configuration as those of a file', () => {
  const fleet = buildFleet();
  fleet.getTeamOrThrow('yard').setRate(Number.NaN).allowModel('lab-9b');
  const checked = fleet.check();
  assert.ok(checked.isErr());
  assert.equal(checked.error[0]?.key, 'teams[1].tokens_per_second');
  assert.throws(() => fleet.getTeamOrThrow('nobody'), /no team nobody/);
  assert.equal(fleet.getTeam('nobody'), undefined);
});

test('keys are added and removed by digest', () => {
  const fleet = buildFleet();
  const { key, digest } = newKey(Buffer.alloc(32, 7));
  fleet.getTeamOrThrow('yard').addKeyDigest(digest);
  assert.ok(fleet.toToml().includes(digest));
  assert.ok(!fleet.toToml().includes(key));
  fleet.getTeamOrThrow('yard').removeKeyDigest(digest);
  assert.ok(!fleet.toToml().includes(digest));
});

test('a key has the common prefix, and its digest is the SHA-256 that hosts look up', () => {
  fc.assert(
    fc.property(fc.uint8Array({ minLength: 24, maxLength: 64 }), (bytes) => {
      const { key, digest } = newKey(bytes);
      assert.match(key, /^cvk_[\w-]{32,}$/);
      assert.equal(digest, sha256Hex(key));
    }),
    { seed: 5 },
  );
  assert.throws(() => newKey(Buffer.alloc(23)), RangeError);
});
