import assert from 'node:assert/strict';
import { createServer } from 'node:http';
import { test } from 'node:test';
import type { TestContext } from 'node:test';
import { setFaultListener, SystemClock } from '@camphorvane/core';
import { HttpSnapshotExchange } from '@camphorvane/peer/snapshots';

const COPY = {
  objects: [{ kind: 'config', name: 'main', version: 9, value: { version: 3 } }],
  version: 9,
};

async function listening(t: TestContext, isPeer = true): Promise<[HttpSnapshotExchange, string]> {
  const exchange = new HttpSnapshotExchange(new SystemClock());
  exchange.setSource({
    get: (kind) => (kind === 'config' ? COPY : undefined),
    isPeer: () => isPeer,
  });
  const port = (await exchange.listen('127.0.0.1', 0))._unsafeUnwrap();
  t.after(() => exchange.close());
  return [exchange, `127.0.0.1:${port}`];
}

test('a newer copy is sent, an older or unknown one is not', async (t) => {
  const [exchange, address] = await listening(t);
  assert.deepEqual(await exchange.fetch(address, 'config', 8), COPY);
  assert.equal(await exchange.fetch(address, 'config', 9), undefined);
  assert.equal(await exchange.fetch(address, 'servers', 0), undefined);
});

// Guards against copies, which contain keys, that anybody who reaches the port can read.
test('an address that is no host of the fleet gets nothing', async (t) => {
  const [exchange, address] = await listening(t, false);
  assert.equal(await exchange.fetch(address, 'config', 0), undefined);
});

// Guards against a host that waits for a frozen or faulty peer while others have the copy.
test('a peer that is down, silent or sends no copy counts as having none', async (t) => {
  const [exchange] = await listening(t);
  const bodies = ['{', 'null', '{"version":1,"objects":[{"kind":1}]}'];
  const faulty = createServer((_req, res) => {
    const body = bodies.shift();
    if (body !== undefined) res.end(body);
  });
  await new Promise<void>((resolve) => {
    faulty.listen(0, '127.0.0.1', resolve);
  });
  t.after(() => faulty.close().closeAllConnections());
  const { port } = faulty.address() as { readonly port: number };
  const answers = await Promise.all(
    [0, 1, 2, 3].map(() => exchange.fetch(`127.0.0.1:${port}`, 'config', 0)),
  );
  assert.deepEqual(answers, [undefined, undefined, undefined, undefined]);
  assert.equal(await exchange.fetch('127.0.0.1:1', 'config', 0), undefined);
});

// Guards against one request of a peer that ends the process: its path can't be decoded, or the host throws over it.
test('a request over which the host throws is refused, and the next one is served', async (t) => {
  const faults: string[] = [];
  setFaultListener((place) => faults.push(place));
  t.after(() => setFaultListener(undefined));
  const [exchange, address] = await listening(t);
  const statusOf = async (path: string): Promise<number> =>
    (await fetch(`http://${address}${path}`, { signal: AbortSignal.timeout(1_000) })).status;
  assert.equal(await statusOf('/snapshots/%zz?newer-than=0'), 500);
  exchange.setOtherHandler(() => {
    throw new Error('spoiled');
  });
  assert.equal(await statusOf('/other'), 500);
  exchange.setOtherHandler(() => false);
  assert.deepEqual(await exchange.fetch(address, 'config', 8), COPY);
  assert.deepEqual(faults, ['peer.request', 'peer.request']);
});

/** Nested more deeply than JSON can be written. */
const DEEP = JSON.parse(`${'['.repeat(100_000)}${']'.repeat(100_000)}`) as unknown;

// Guards against hosts that get no copy from their peers while one entry of another writer is nested too deeply to be sent.
test('an object that can not be sent is left out, and the others are sent', async (t) => {
  const [exchange, address] = await listening(t);
  const odd = { kind: 'config', name: 'odd', version: 8, value: DEEP };
  exchange.setSource({
    get: () => ({ ...COPY, objects: [odd, ...COPY.objects] }),
    isPeer: () => true,
  });
  assert.deepEqual(await exchange.fetch(address, 'config', 0), COPY);
});

// Guards against a copy of a peer under a version that no later copy can exceed.
test('a copy whose version can not be counted up is none', async (t) => {
  const [exchange, address] = await listening(t);
  await [1e308, 2 ** 53, 1.5].reduce(async (before, version) => {
    await before;
    exchange.setSource({ get: () => ({ ...COPY, version }), isPeer: () => true });
    assert.equal(await exchange.fetch(address, 'config', 0), undefined, String(version));
  }, Promise.resolve());
});
