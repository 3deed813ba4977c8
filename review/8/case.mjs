/* eslint-disable */
// DRAIN: a host that starts reads its list of servers in two pages of different age, and never learns that one drains.
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import {
  clientHeaders,
  configOf,
  exchange,
  Machine,
  newId,
  now,
  PlainServer,
  runCase,
  sleep,
  Store,
  TROUBLE,
} from '../lib-2/stand-ins.mjs';

/** Figures of the pages: a page of the list, how old a cheap read is, the drain time and the window of "in touch". */
const PAGE = 50;
const OLD_MS = 3_000;
const DRAIN_MS = 2_000;
const STABLE_MS = 3_000;

/** How long the server that drains goes on: drain-ms and "a little longer (at times many seconds)". */
const SERVES_ON_MS = 9_000;

await runCase(path.dirname(fileURLToPath(import.meta.url)), async ({ record, onEnd }) => {
  // Two replicas answer cheap reads: one is up to date, the other one 3 s behind; which one answers depends on the URL.
  const store = new Store({ pageSize: PAGE, oldMs: (kind, after) => (after === '' ? 0 : OLD_MS) });
  await store.listen('127.0.0.1');
  onEnd(() => store.close());
  const runs = new Map();
  const servers = [];
  const add = async (id, service) => {
    const server = new PlainServer({
      id,
      service,
      workMs: () => 250,
      onArrival: (request) => runs.set(request, { server: id, at: now() }),
    });
    await server.listen('127.0.0.2');
    servers.push(server);
    store.write('servers', id, server.entry());
    return server;
  };
  for (let index = 0; index < 49; index += 1)
    await add(`i-${(0x10000000 + index * 0x1000).toString(16)}`, 'lookup-api');
  // `scale_in` takes a share of 0.141 of a service's servers at most: one of eight here.
  for (let index = 0; index < 7; index += 1)
    await add(`i-${(0x2f41a7c0 + index * 0x1000).toString(16)}`, 'cert-api');
  const leaving = await add('i-c24e08b1', 'cert-api');
  onEnd(() => servers.forEach((server) => server.close()));
  const routes = [
    { name: 'r-issue', 'path-prefix': '/pule252/', service: 'cert-api' },
    {
      name: 'r-lookup',
      'path-prefix': '/puxa403/',
      kind: 'safe',
      'max-attempts': 2,
      service: 'lookup-api',
    },
  ];
  store.write(
    'config',
    'main',
    configOf({ version: 7, routes, services: [{ name: 'cert-api' }, { name: 'lookup-api' }] }),
  );

  // All that has been written so far is older than any cheap read.
  await sleep(OLD_MS + 500);

  const machines = [1, 2].map(
    (index) => new Machine({ name: `front-akl-a-${index}`, ip: '127.0.0.1', store }),
  );
  for (const machine of machines) {
    await machine.prepare();
    machine.writeSettings();
    machine.start();
    onEnd(() => machine.stop());
  }
  for (const machine of machines)
    if (!(await machine.untilReady())) throw new Error(`${machine.name} is not ready`);
  record.add(
    `two machines are ready; ${servers.length} servers in ${Math.ceil(servers.length / PAGE)} pages`,
  );
  await sleep(4_000);

  const [, second] = machines;
  let isSending = true;
  const results = [];
  const send = async () => {
    const id = newId('b');
    const sentAt = now();
    const result = { id, sentAt };
    results.push(result);
    try {
      const answer = await exchange({
        ip: second.ip,
        port: second.front,
        path: `/pule252/${id}`,
        headers: clientHeaders(id, 4_000),
        body: `issue ${id}`,
      });
      result.end = String(answer.status);
    } catch (thrown) {
      result.end = `no answer (${thrown.message})`;
    }
    result.endedAt = now();
  };
  const sending = (async () => {
    while (isSending) {
      send();
      await sleep(16);
    }
  })();
  await sleep(2_000);

  if (TROUBLE) {
    record.add(`${second.name} gets SIGTERM, as in a rolling restart`);
    second.kill('SIGTERM');
    await second.ended;
    record.add(`${second.name} has ended`);
    await sleep(300);
    store.onList = ({ kind, after, isCheap, revision, newest, items }) => {
      if (kind === 'servers')
        record.add(
          `list of servers after '${after}'${isCheap ? ', serializable' : ''}: ${items} items of revision ${revision}, the newest is ${newest}`,
        );
    };
  }
  const { revision } = store.write('servers', leaving.id, leaving.entry('draining')).metadata;
  const ackAt = now();
  record.add(`the store acknowledges that ${leaving.id} is draining, revision ${revision}`);
  if (TROUBLE) {
    second.start();
    record.add(`${second.name} is started again`);
  }
  const startedAt = TROUBLE ? second.startedAt : -Infinity;
  await sleep(SERVES_ON_MS);
  leaving.close();
  store.remove('servers', leaving.id);
  const goneAt = now();
  record.add(`${leaving.id} has left`);
  await sleep(1_500);
  isSending = false;
  await sending;
  await sleep(500);

  const boundAt = Math.max(ackAt + DRAIN_MS, startedAt + STABLE_MS);
  const late = results.filter(({ id, sentAt }) => {
    const run = runs.get(id);
    return run?.server === leaving.id && run.at > boundAt && sentAt > startedAt;
  });
  const early = results.filter(
    ({ id }) =>
      runs.get(id)?.server === leaving.id && runs.get(id).at <= boundAt && runs.get(id).at > ackAt,
  );
  for (const { id, sentAt, end } of results)
    record.addRequest({ id, sentAt, end, run: runs.get(id)?.server });
  for (const { id, end } of late)
    record.add(
      `${id} reached ${leaving.id} ${((runs.get(id).at - ackAt) / 1000).toFixed(2)} s after the acknowledgement; its client got ${end}`,
    );
  const lost = late.filter(({ end }) => end !== '200');
  const served = results.filter(({ end }) => end === '200').length;
  record.add(
    `${results.length} requests sent, ${served} answered 200; at ${leaving.id}: ${early.length} before the bound, ${late.length} after it, of which ${lost.length} got no 200; it left ${((goneAt - ackAt) / 1000).toFixed(1)} s after the acknowledgement`,
  );
  if (served < 100) throw new Error('too few requests were served to judge');
  return late.length > 0
    ? `DRAIN, ${late.length} requests reached a draining server later than drain-ms, ${lost.length} of them without a 200`
    : undefined;
});
