import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ServiceSettings } from '@camphorvane/stand-ins';
import { parseScenario, runScenario } from '../src/index.ts';
import type { Scenario, ScenarioResult } from '../src/index.ts';
import { naiveSubject } from './support/NaiveHost.ts';
import type { Fault } from './support/NaiveHost.ts';

const DECLARATIONS = `
name = "checks"
duration = 20
settle = 12
[[team]]
id = "labs"
rate = 400
burst = 3000
[[pool]]
model = "formulas"
[[service]]
id = "certificates"
[[service.route]]
method = "POST"
path = "/"
idempotent = false
[[expect]]
`;

const LOAD = `
[[step]]
do = "load"
at = 0
for = 12
per_second = 4
team = "labs"
model = "formulas"
prompt_tokens = 60
output_tokens = 10
`;

const CALLS = `
[[step]]
do = "burst"
at = 1
count = 3
team = "labs"
service = "certificates"
`;

function scenario(steps: string): Scenario {
  const parsed = parseScenario(DECLARATIONS + steps, 'checks.toml', () => '');
  assert.ok(parsed.isOk(), JSON.stringify(parsed));
  return parsed.value;
}

function run(
  steps: string,
  fault: Fault,
  servers?: Partial<ServiceSettings>,
): Promise<ScenarioResult> {
  return runScenario(scenario(steps), 1, { subject: naiveSubject(fault), servers });
}

const WITHDRAWAL = '[[step]]\ndo = "withdraw_key"\nat = 3\nteam = "labs"\n';
const CHANGE = '[[step]]\ndo = "set_rate"\nat = 3\nteam = "labs"\nrate = 1\nburst = 1\n';
const DRAIN = '[[step]]\ndo = "drain_host"\nat = 2\nhost = "h1"\n';

/** What each broken host does, the steps that bring it out, and the check that must find it. */
const BROKEN: readonly (readonly [Fault, string, string])[] = [
  ['leaks_memory', `${LOAD}leave_after = 0.04\n`, 'memory'],
  ['shows_key', CALLS, 'key_hidden'],
  ['lies_not_run', LOAD, 'not_run'],
  ['ignores_rate', LOAD.replace('= 4', '= 30'), 'team_rate'],
  ['answers_twice', LOAD, 'answered_once'],
  ['loses_a_position', LOAD, 'positions'],
  ['swaps_prompts', LOAD, 'own_whole_answer'],
  ['repeats_calls', CALLS, 'at_most_once'],
  ['goes_back', LOAD, 'version_grows'],
  ['serves_while_leaving', `${LOAD}host = "h1"\n${DRAIN}`, 'leaving'],
  [
    'cuts_on_drain',
    `${LOAD}output_tokens = 400\n${DRAIN}`.replace('output_tokens = 10\n', ''),
    'drain',
  ],
  ['keeps_withdrawn_keys', LOAD + WITHDRAWAL, 'withdrawn_key'],
  ['loses_a_change', CHANGE, 'accepted'],
  ['lags_behind', CHANGE, 'in_force'],
  ['never_ends', `${LOAD}patience = 100\n`, 'ends'],
];

BROKEN.forEach(([fault, steps, check]) => {
  test(`a host that ${fault.replaceAll('_', ' ')} is found out`, async () => {
    const broken = await run(steps, fault);
    const found = broken.violations.map((violation) => violation.check);
    assert.ok(found.includes(check), `${check} not among ${[...new Set(found)].join(', ')}`);
    const sound = await run(steps, 'none');
    assert.deepEqual(
      sound.violations.filter((violation) => violation.check === check),
      [],
    );
  });
});

// Guards against a check that misses load on servers which ask for less in their answers.
[['limit = 0.5'], ['leaving = true'], ['rest = 3']].forEach(([asked = '']) =>
  test(`hosts that ignore servers with ${asked} are found out`, async () => {
    const load = CALLS.replace('"burst"', '"load"').replace(
      'count = 3',
      'for = 12\nper_second = 20',
    );
    const steps = ['certificates-1', 'certificates-2'].map(
      (server) => `\n[[step]]\ndo = "ask"\nat = 2\nupstream = "${server}"\n${asked}\n`,
    );
    const result = await run(load + steps.join(''), 'none');
    assert.ok(result.violations.some(({ check }) => check === 'asked'));
  }),
);

test('a server that runs each call twice is found out', async () => {
  // The service itself books a lot twice for one call: the buyer sees two reservations.
  const result = await run(CALLS, 'none', { executionsPerCall: 2 });
  assert.ok(result.violations.some((violation) => violation.check === 'at_most_once'));
});

test('a sound host passes, and equal seeds give equal runs', async () => {
  const first = await run(LOAD + CALLS, 'none');
  assert.deepEqual(first.violations, []);
  assert.ok(first.counts.byOutcome.whole > 20);
  assert.deepEqual(await run(LOAD + CALLS, 'none'), first);
});

test('an expectation that is missed is reported', async () => {
  const result = await run(`${LOAD}\n[[expect]]\nwhole_min = 5000\n`, 'none');
  assert.match(result.violations[0]?.message ?? '', /whole: \d+, expected min 5000/);
});
