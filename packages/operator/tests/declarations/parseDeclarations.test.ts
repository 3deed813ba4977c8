import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  declarationsOf,
  parseDeclarations,
  routingConfigOf,
  describeDeclarationError,
} from '@camphorvane/operator';
import { DIGEST, TOML } from '../support/declarations.ts';

const faults = (text: string): readonly string[] =>
  parseDeclarations(text, 'fleet.toml').match(
    () => [],
    (errors) => errors.map(describeDeclarationError),
  );

const edited = (from: string, to: string): readonly string[] => {
  assert.ok(TOML.includes(from));
  return faults(TOML.replace(from, to));
};

test('a whole file becomes a configuration, and goes back to the same declarations', () => {
  const parsed = parseDeclarations(TOML, 'fleet.toml');
  assert.ok(parsed.isOk());
  assert.equal(parsed.value.teams[0]?.weight, 1);
  assert.deepEqual(parsed.value.waitRules, [{ class: 'summary', maxWaitMs: 60_000 }]);
  assert.deepEqual(routingConfigOf(declarationsOf(parsed.value)), parsed.value);
});

test('an empty file is a configuration without teams', () => {
  assert.deepEqual(faults(''), []);
});

test('each bad value is named with its line, key, what was found and what is expected', () => {
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
    const found = edited(from, to);
    assert.equal(found.length, 1, found.join('\n'));
    assert.ok(found[0]?.startsWith(`fleet.toml:${expected}`), found[0]);
  });
});

test('a key pasted in place of its digest is refused and not repeated', () => {
  // An operator pastes the key itself. If the error showed it, it would stay in the logs of the
  // pipeline that applies the file, for everyone who may read them.
  const found = edited(DIGEST, 'cvk_0123456789abcdef');
  assert.equal(found.length, 1);
  assert.ok(!found[0]?.includes('0123456789abcdef'), found[0]);
  const syntax = faults(TOML.replace(`"${DIGEST}"`, 'cvk_0123456789abcdef'));
  assert.ok(!syntax.join().includes('0123456789abcdef'), syntax.join());
});

test('references that lead nowhere and names that stand twice are each named', () => {
  // A model is retired while a team still names it, or a block is copied and not renamed. Hosts
  // would refuse that team's requests, or fill an engine twice over, without anyone knowing why.
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
    const found = edited(from, to);
    assert.equal(found.length, 1, found.join('\n'));
    assert.ok(found[0]?.includes(expected), found[0]);
  });
});

test('text that is no TOML is told with its line', () => {
  assert.match(
    faults('[[teams]]\nid = \n')[0] ?? '',
    /^fleet\.toml:2: found .*, expected valid TOML/,
  );
});

test('a million teams are refused before they are parsed', () => {
  // A script that generates the file runs away. Parsing the result would hold the operator's
  // pipeline for minutes and could take the machine's memory.
  const million = '[[teams]]\nid="t"\n'.repeat(1_000_000);
  assert.deepEqual(faults(million), [
    'fleet.toml: teams: found 1000000 teams, expected at most 50000',
  ]);
  assert.match(faults('#'.repeat(25 * 1024 * 1024))[0] ?? '', /expected at most \d+ bytes/);
});

test('a file with very many faults reports a bounded number of them', () => {
  const bad = '[[teams]]\nid="t"\ntokens_per_second=-1\nburst_tokens=1\n'.repeat(5000);
  const found = faults(bad);
  assert.equal(found.length, 101);
  assert.equal(found.at(-1), 'fleet.toml: found 4900 more errors, expected none');
});
