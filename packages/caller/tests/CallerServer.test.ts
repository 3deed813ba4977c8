import assert from 'node:assert/strict';
import { test } from 'node:test';
import OpenAI, { APIError } from 'openai';
import { TEST_KEY } from './support/FakeBackend.ts';
import { withServer } from './support/withServer.ts';

const createClient = (port: number, apiKey = TEST_KEY): OpenAI =>
  new OpenAI({ baseURL: `http://127.0.0.1:${port}/v1`, apiKey, maxRetries: 0 });

async function collect<T>(items: AsyncIterable<T>): Promise<readonly T[]> {
  const list: T[] = [];
  for await (const item of items) list.push(item);
  return list;
}

const messages = [{ role: 'user' as const, content: 'Which solvent?' }];

test('the OpenAI client gets a complete chat response', async () => {
  await withServer(async (port, backend) => {
    const completion = await createClient(port).chat.completions.create({
      model: 'varnish-7b',
      messages,
      max_tokens: 7,
    });
    assert.equal(completion.choices[0]?.message.content, 'white spirit');
    assert.equal(completion.choices[0]?.finish_reason, 'stop');
    assert.equal(completion.usage?.total_tokens, 7);
    assert.equal(completion.usage?.prompt_tokens_details?.cached_tokens, 2);
    assert.equal(backend.completions[0]?.maxTokens, 7);
    assert.equal(backend.completions[0]?.prompt, 'user: Which solvent?\n');
  });
});

test('the OpenAI client streams a chat and a text completion', async () => {
  await withServer(async (port) => {
    const client = createClient(port);
    const chat = await client.chat.completions.create({
      model: 'varnish-7b',
      messages,
      stream: true,
      stream_options: { include_usage: true },
    });
    const chunks = await collect(chat);
    const text = chunks.map((chunk) => chunk.choices[0]?.delta.content ?? '').join('');
    assert.equal(text, 'white spirit');
    assert.equal(chunks.at(-1)?.usage?.completion_tokens, 2);
    const completion = await client.completions.create({
      model: 'varnish-7b',
      prompt: 'Which solvent?',
      stream: true,
    });
    const texts = (await collect(completion)).map((chunk) => chunk.choices[0]?.text ?? '');
    assert.equal(texts.join(''), 'white spirit');
  });
});

test('the OpenAI client throws when a stream fails after its first token', async () => {
  // The engines fail after the first token. Without an error event the truncated stream would pass for
  // a short but complete response.
  await withServer(async (port, backend) => {
    backend.setEvents([
      { type: 'token', position: 0, text: 'white ' },
      {
        type: 'refused',
        refusal: { code: 'upstream_failed', message: 'Engines failed.', execution: 'unknown' },
      },
    ]);
    const stream = await createClient(port).chat.completions.create({
      model: 'varnish-7b',
      messages,
      stream: true,
    });
    await assert.rejects(collect(stream), (error) => {
      assert.ok(error instanceof APIError);
      assert.equal(error.code, 'upstream_failed');
      return true;
    });
  });
});

test('a refusal carries its code, execution and Retry-After', async () => {
  await withServer(async (port, backend) => {
    backend.setEvents([
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

test('the OpenAI client reports an unknown key as an authentication error', async () => {
  await withServer(async (port) => {
    await assert.rejects(createClient(port, 'cvk_wrong_key').models.list(), { status: 401 });
    const models = await createClient(port).models.list();
    assert.deepEqual(
      models.data.map((model) => model.id),
      ['varnish-7b'],
    );
  });
});

test('a request is aborted when its caller disconnects', async () => {
  // A caller closes its connection while its response is generated. If the host missed it, engine memory
  // would stay reserved for a response that nobody reads.
  await withServer(async (port, backend) => {
    backend.stallAfterFirstEvent();
    const stream = await createClient(port).chat.completions.create({
      model: 'varnish-7b',
      messages,
      stream: true,
    });
    stream.controller.abort();
    const deadline = Date.now() + 5_000;
    while (backend.disconnectCount === 0 && Date.now() < deadline) {
      await new Promise((resolve) => {
        setTimeout(resolve, 5);
      });
    }
    assert.equal(backend.disconnectCount, 1);
  });
});
