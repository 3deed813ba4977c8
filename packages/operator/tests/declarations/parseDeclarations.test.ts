import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NO_OVERLOAD_POLICY } from '@camphorvane/core';
import {
  declarationsOf,
  parseDeclarations,
  routingConfigOf,
  describeDeclarationError,
} from '@camphorvane/operator';
import { DIGEST, TOML } from '../support/declarations.ts';

const parseErrors = (text: string): readonly string[] =>
  parseDeclarations(text, 'fleet.toml').match(
    () => [],
    (errors) => errors.map(describeDeclarationError),
  );

const errorsAfterEdit = (from: string, to: string): readonly string[] => {
  assert.ok(TOML.includes(from));
  return parseErrors(TOML.replace(from, to));
};

test('a complete file parses, and its configuration survives a round trip through declarations', () => {
  const parsed = parseDeclarations(TOML, 'fleet.toml');
  assert.ok(parsed.isOk());
  assert.equal(parsed.value.teams[0]?.weight, 1);
  assert.deepEqual(parsed.value.waitRules, [{ class: 'summary', maxWaitMs: 60_000 }]);
  assert.deepEqual(routingConfigOf(declarationsOf(parsed.value)), parsed.value);
});

test('the overload table switches single controls on, and survives a round trip', () => {
  const parsed = parseDeclarations('[overload]\nadmission = true\n', 'fleet.toml');
  assert.ok(parsed.isOk());
  assert.deepEqual(parsed.value.overload, { ...NO_OVERLOAD_POLICY, admission: true });
  assert.deepEqual(routingConfigOf(declarationsOf(parsed.value)), parsed.value);
});

test('a control that is misspelled or not a flag is reported with its line and key', () => {
  assert.deepEqual(parseErrors('[overload]\nfair_shares = 2\n'), [
    'fleet.toml:2: overload.fair_shares: found 2, expected true or false',
  ]);
  assert.match(
    parseErrors('[overload]\nfair_share = true\n')[0] ?? '',
    /^fleet\.toml:2: overload\.fair_share: found an unknown key/,
  );
});

test('an empty file is valid', () => {
  assert.deepEqual(parseErrors(''), []);
});

test('each invalid value is reported with its line, key, found value and expected values', () => {
  const cases: readonly (readonly [string, string, string])[] = [
    ['= 4000', '= nan', '4: teams[0].tokens_per_second: found NaN, expected a whole number'],
    ['= 4000', '= -1', '4: teams[0].tokens_per_second: found -1, expected a whole number'],
    ['= 4000', '= inf', '4: teams[0].tokens_per_second: found Infinity, expected a whole number'],
    ['= 20000', '= 9e15', '5: teams[0].burst_tokens: found 9000000000000000, expected a whole'],
    ['= 20000', '= 1.5', '5: teams[0].burst_tokens: found 1.5, expected a whole number from 1'],
    ['= 400\n', '= "x"\n', '14: pools[0].link_pieces_per_second: found "x", expected a number'],
    [
      '//127.0.0.1:9101',
      '//engine:9101',
      '18: pools[0].engines[0].url: found "http://engine:9101"',
    ],
    [
      '//127.0.0.1:9101',
      '//u:p@127.0.0.1',
      '18: pools[0].engines[0].url: found a URL with a password (not shown)',
    ],
    ['id = "c1"', '', '36: services[0].servers[0].id: found nothing, expected a name'],
    ['id = "c1"', 'id = "c1"\nspeed = 3', '38: services[0].servers[0].speed: found an unknown key'],
    ['"decode"', '"Decode"', '28: pools[0].engines[1].role: found "Decode", expected one of'],
    [DIGEST, DIGEST.toUpperCase(), '6: teams[0].key_digests[0]: found'],
  ];
  cases.forEach(([from, to, expected]) => {
    const found = errorsAfterEdit(from, to);
    assert.equal(found.length, 1, found.join('\n'));
    assert.ok(found[0]?.startsWith(`fleet.toml:${expected}`), found[0]);
  });
});

test('a key pasted in place of its digest is rejected and not quoted in the error', () => {
  // If the error quoted the key, it would remain in the logs of the deployment pipeline, readable by
  // everyone with access to them.
  const found = errorsAfterEdit(DIGEST, 'cvk_0123456789abcdef');
  assert.equal(found.length, 1);
  assert.ok(!found[0]?.includes('0123456789abcdef'), found[0]);
  const syntax = parseErrors(TOML.replace(`"${DIGEST}"`, 'cvk_0123456789abcdef'));
  assert.ok(!syntax.join().includes('0123456789abcdef'), syntax.join());
});

test('dangling references and duplicate names are each reported', () => {
  // A team still references a removed model, or a block is copied without renaming it. Hosts would refuse
  // the team's requests, or overcommit an engine twofold, without a visible cause.
  const cases: readonly (readonly [string, string, string])[] = [
    ['models = ["lab-8b"]', 'models = ["lab-9b"]', '7: teams[0].models[0]: found "lab-9b"'],
    ['class = "summary"', 'class = "summary"\nteam = "x"', 'wait_rules[0].team: found "x"'],
    ['id = "d1"', 'id = "p1"', 'pools[0].engines[1].id: found p1 a second time'],
    ['127.0.0.1:9201', '127.0.0.1:9101', 'services[0].servers[0].url: found http://127.0.0.1:9101'],
    ['"decode"', '"prefill"', 'pools[0].engines: found no decode engine'],
    [
      '[[wait_rules]]',
      '[[wait_rules]]\nclass = "summary"\nmax_wait_ms = 1\n[[wait_rules]]',
      'wait_rules[1]',
    ],
    [`["${DIGEST}"]`, `["${DIGEST}", "${DIGEST}"]`, 'teams[0].key_digests[1]: found'],
  ];
  cases.forEach(([from, to, expected]) => {
    const found = errorsAfterEdit(from, to);
    assert.equal(found.length, 1, found.join('\n'));
    assert.ok(found[0]?.includes(expected), found[0]);
  });
});

test('invalid TOML is reported with its line', () => {
  assert.match(
    parseErrors('[[teams]]\nid = \n')[0] ?? '',
    /^fleet\.toml:2: found .*, expected valid TOML/,
  );
});

test('a file with a million teams is rejected before parsing', () => {
  // Parsing a runaway generated file would block the deployment pipeline for minutes and could exhaust
  // the memory of the machine.
  const million = '[[teams]]\nid="t"\n'.repeat(1_000_000);
  assert.deepEqual(parseErrors(million), [
    'fleet.toml: teams: found 1000000 teams, expected at most 50000',
  ]);
  assert.match(parseErrors('#'.repeat(25 * 1024 * 1024))[0] ?? '', /expected at most \d+ bytes/);
});

test('the number of reported errors is bounded', () => {
  const bad = '[[teams]]\nid="t"\ntokens_per_second=-1\nburst_tokens=1\n'.repeat(5000);
  const found = parseErrors(bad);
  assert.equal(found.length, 101);
  assert.equal(found.at(-1), 'fleet.toml: found 4900 more errors, expected none');
});
