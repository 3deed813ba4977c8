import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { isSupportedRuntime, LEAST_NODE_VERSION } from '../../src/cli/requireRuntime.ts';

test('runtimes older than the least version are told apart', () => {
  const supported = ['20.18.0', '20.19.6', '21.0.0', '22.1.0'].map(isSupportedRuntime);
  assert.deepEqual(supported, [true, true, true, true]);
  const older = ['18.20.8', '20.0.0', '20.9.0', '20.17.0'].map(isSupportedRuntime);
  assert.deepEqual(older, [false, false, false, false]);
});

test('README, package.json and the program name the same least runtime', () => {
  const [major, minor] = LEAST_NODE_VERSION.split('.');
  const { engines } = JSON.parse(readFileSync('package.json', 'utf8')) as {
    readonly engines: { readonly node: string };
  };
  assert.equal(engines.node, `>=${major}.${minor}`);
  assert.match(
    readFileSync('README.md', 'utf8'),
    new RegExp(`Node\\.js ${major}\\.${minor} or newer`),
  );
});
