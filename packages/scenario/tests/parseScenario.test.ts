import assert from 'node:assert/strict';
import { test } from 'node:test';
import { parseScenario } from '../src/index.ts';

const GOOD = `name = "x"
duration = 5
[[team]]
id = "labs"
rate = 1
burst = 1
[[step]]
do = "kill_host"
at = 1
host = "h1"
[[expect]]
sent_min = 0
`;

function errorsOf(text: string): readonly string[] {
  return parseScenario(text, 'f.toml', () => '').match(
    () => [],
    (errors) => errors.map(({ place, key, message }) => `${place}: ${key}: ${message}`),
  );
}

test('a good file has no errors', () => {
  assert.deepEqual(errorsOf(GOOD), []);
});

test('an unknown host is named with its line and what is expected', () => {
  assert.deepEqual(errorsOf(GOOD.replace('"h1"', '"h9"')), [
    'f.toml:10: step.0.host: "h9" is not declared; expected one of h1, h2, h3',
  ]);
});

test('a wrong type is named with its line and key', () => {
  const [error] = errorsOf(GOOD.replace('at = 1', 'at = "soon"'));
  assert.match(error ?? '', /^f\.toml:9: step\.0\.at: .*number/);
});

test('an unknown step or key is named', () => {
  assert.match(errorsOf(GOOD.replace('kill_host', 'hug_host')).join(), /step\.0\.do/);
  assert.match(errorsOf(GOOD.replace('burst = 1', 'brust = 1')).join(), /brust/);
});

test('broken TOML is named with its line', () => {
  assert.match(errorsOf(GOOD.replace('rate = 1', 'rate = = 1')).join(), /^f\.toml:5/);
});

test('a label that no step has is named', () => {
  assert.match(errorsOf(`${GOOD}of = "lost"\n`).join(), /no step has the label "lost"/);
});
