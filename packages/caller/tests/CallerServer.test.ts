import assert from 'node:assert/strict';
import { test } from 'node:test';
import OpenAI, { APIError } from 'openai';
import { TEST_KEY } from './support/FakeBackend.ts';
import { withServer } from './support/withServer.ts';

const clientFor = (port: number, apiKey = TEST_KEY): OpenAI =>
  new OpenAI({ baseURL: `http://127.0.0.1:${port}/v1`, apiKey, maxRetries: 0 });

async function all<T>(items: AsyncIterable<T>): Promise<readonly T[]> {
  const list: T[] = [];
  for await (const item of items) list.push(item);
  return list;
}

const messages = [{ role: 'user' as const, content: 'Which solvent?' }];

test('the published client gets a whole chat answer', async () => {
  await withServer(async (port, backend) => {
    const answer = await clientFor(port).chat.completions.create({
      model: 'varnish-7b',
      messages,
      max_tokens: 7,
    });
    assert.equal(answer.choices[0]?.message.content, 'white spirit');
    assert.equal(answer.choices[0]?.finish_reason, 'stop');
    assert.equal(answer.usage?.total_tokens, 7);
    assert.equal(answer.usage?.prompt_tokens_details?.cached_tokens, 2);
    assert.equal(backend.completions[0]?.maxTokens, 7);
    assert.equal(backend.completions[0]?.prompt, 'user: Which solvent?\n');
  });
});

test('the published client streams a chat and a text completion', async () => {
  await withServer(async (port) => {
    const client = clientFor(port);
    const chat = await client.chat.completions.create({
      model: 'varnish-7b',
      messages,
      stream: true,
      stream_options: { include_usage: true },
    });
    const chunks = await all(chat);
    const text = chunks.map((chunk) => chunk.choices[0]?.delta.content ?? '').join('');
    assert.equal(text, 'white spirit');
    assert.equal(chunks.at(-1)?.usage?.completion_tokens, 2);
    const completion = await client.completions.create({
      model: 'varnish-7b',
      prompt: 'Which solvent?',
      stream: true,
    });
    const texts = (await all(completion)).map((chunk) => chunk.choices[0]?.text ?? '');
    assert.equal(texts.join(''), 'white spirit');
  });
});

test('a stream that fails half-way reaches the published client as an error', async () => {
  // The engines fail after the first token. A stream that simply ended would pass for a short but
  // whole answer; the client must throw instead.
  await withServer(async (port, backend) => {
    backend.answerWith([
      { type: 'token', position: 0, text: 'white ' },
      {
        type: 'refused',
        refusal: { code: 'upstream_failed', message: 'Engines failed.', execution: 'unknown' },
      },
    ]);
    const stream = await clientFor(port).chat.completions.create({
      model: 'varnish-7b',
      messages,
      stream: true,
    });
    await assert.rejects(all(stream), (error) => {
      assert.ok(error instanceof APIError);
      assert.equal(error.code, 'upstream_failed');
      return true;
    });
  });
});

test('a refusal carries code, execution and when to come back', async () => {
  await withServer(async (port, backend) => {
    backend.answerWith([
      {
        type: 'refused',
        refusal: {
          code: 'over_rate',
          message: 'Over the rate.',
          execution: 'not_run',
          retryAfterMs: 1_200,
        },
      },
    ]);
    const res = await fetch(`http://127.0.0.1:${port}/v1/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer ${TEST_KEY}` },
      body: JSON.stringify({ model: 'varnish-7b', prompt: 'x', stream: true }),
    });
    assert.equal(res.status, 429);
    assert.equal(res.headers.get('retry-after'), '2');
    assert.equal(res.headers.get('x-camphorvane-execution'), 'not_run');
    const body = (await res.json()) as { readonly error: Readonly<Record<string, unknown>> };
    assert.equal(body.error.code, 'over_rate');
    assert.equal(body.error.execution, 'not_run');
  });
});

test('a wrong key is an authentication error to the published client', async () => {
  await withServer(async (port) => {
    await assert.rejects(clientFor(port, 'cvk_wrong_key').models.list(), { status: 401 });
    const models = await clientFor(port).models.list();
    assert.deepEqual(
      models.data.map((model) => model.id),
      ['varnish-7b'],
    );
  });
});

test('a caller that goes away ends its request', async () => {
  // A caller closes its connection while the answer is being made. Were the host not to notice,
  // engine memory would stay held for an answer that nobody reads.
  await withServer(async (port, backend) => {
    backend.hang();
    const stream = await clientFor(port).chat.completions.create({
      model: 'varnish-7b',
      messages,
      stream: true,
    });
    stream.controller.abort();
    const until = Date.now() + 5_000;
    while (backend.gone === 0 && Date.now() < until) {
      await new Promise((resolve) => {
        setTimeout(resolve, 5);
      });
    }
    assert.equal(backend.gone, 1);
  });
});
