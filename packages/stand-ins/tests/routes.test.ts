import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SystemClock } from '@camphorvane/core';
import { request } from 'undici';
import {
  answerText,
  EngineCore,
  engineRoutes,
  engineSettings,
  MemoryObjectStore,
  serveApp,
  storeRoutes,
} from '../src/index.ts';
import type { KvCache, RunningApp } from '../src/index.ts';

const clock = new SystemClock();

async function serveEngine(role: 'prefill' | 'decode'): Promise<[EngineCore, RunningApp]> {
  const fetchKv = async (url: string, handle: string): Promise<KvCache> => {
    const res = await request(`${url}/v1/kv/${encodeURIComponent(handle)}`);
    return (await res.body.json()) as KvCache;
  };
  const core = new EngineCore(engineSettings({ id: role, role }), clock, fetchKv);
  return [core, await serveApp(engineRoutes(core), 0)];
}

async function post(port: number, path: string, body: unknown): Promise<[number, string]> {
  const res = await request(`http://127.0.0.1:${port}${path}`, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(body),
  });
  return [res.statusCode, await res.body.text()];
}

test('engines serve prefill, transfer and decode over HTTP', async () => {
  const [, prefill] = await serveEngine('prefill');
  const [core, decode] = await serveEngine('decode');
  const prefillCmd = { attempt: 'a', model: 'm', prompt: 'hello', continuation: '', priority: 0 };
  const [, text] = await post(prefill.port, '/v1/prefill', prefillCmd);
  const { kvHandle } = JSON.parse(text) as { kvHandle: string };
  const sourceUrl = `http://127.0.0.1:${prefill.port}`;
  const transferCmd = { attempt: 'a', kvHandle, sourceUrl, pieces: 1 };
  assert.equal((await post(decode.port, '/v1/transfer', transferCmd))[0], 204);
  const decodeCmd = { attempt: 'a', kvHandle, maxTokens: 5, fromPosition: 0, priority: 0 };
  const [, lines] = await post(decode.port, '/v1/decode', decodeCmd);
  const events = lines
    .trim()
    .split('\n')
    .map((line) => JSON.parse(line) as { type: string; text?: string });
  assert.equal(events.map((event) => event.text ?? '').join(''), answerText('hello', 5));
  assert.equal(events.at(-1)?.type, 'done');
  assert.equal((await post(decode.port, '/v1/decode', decodeCmd))[0], 422);
  core.crash();
  await assert.rejects(post(decode.port, '/v1/transfer', transferCmd));
  await Promise.all([prefill.close(), decode.close()]);
});

test('the platform serves conditional writes over HTTP', async () => {
  const store = new MemoryObjectStore(clock);
  const app = await serveApp(storeRoutes(store), 0);
  const url = `http://127.0.0.1:${app.port}/v1/objects/group/a`;
  const put = async (condition: Record<string, string>): Promise<number> => {
    const res = await request(url, { method: 'PUT', headers: condition, body: '{"x":1}' });
    await res.body.dump();
    return res.statusCode;
  };
  assert.equal(await put({ 'if-none-match': '*' }), 201);
  assert.equal(await put({ 'if-none-match': '*' }), 412);
  assert.equal(await put({ 'if-match': '"1"' }), 200);
  store.setFaults({ down: true });
  assert.equal(await put({ 'if-match': '"2"' }), 503);
  await app.close();
});
