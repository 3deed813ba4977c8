/* eslint-disable */
// Another writer leaves an entry among the servers whose address is none.
import { Agent } from 'node:http';
import { Deployment, clientHeaders, configOf, httpCall, newId, sleep } from '../run.mjs';
import { FakeServer, plainBody, streamBody } from '../servers.mjs';

const EVENTS = 100;
/** With TROUBLE=0 the case does the same without the disruption. */
const isTroubled = process.env.TROUBLE !== '0';
const deployment = new Deployment(import.meta.dirname);
const { world, store } = deployment;
await deployment.startStore();
store.write('config', 'main', configOf(7));
const common = { world, store, ip: deployment.ip(251) };
const llm = { ...common, service: 'attar-llm' };
await deployment.addServer(
  new FakeServer({ ...llm, id: 'i-prefill', zone: 'kolkata-a', stage: 'prefill' }),
);
await deployment.addServer(
  new FakeServer({ ...llm, id: 'i-decode-1', zone: 'kolkata-a', stage: 'decode' }),
);
await deployment.addServer(
  new FakeServer({ ...llm, id: 'i-decode-2', zone: 'kolkata-b', stage: 'decode' }),
);
const app = { ...common, service: 'ledger-app', slots: 6, workMs: 400 };
await deployment.addServer(new FakeServer({ ...app, id: 'i-app-1', zone: 'kolkata-a' }));
await deployment.addServer(new FakeServer({ ...app, id: 'i-app-2', zone: 'kolkata-b' }));
const hosts = [
  await deployment.addHost('front-kolkata-a-1', 'kolkata-a'),
  await deployment.addHost('front-kolkata-b-1', 'kolkata-b'),
];
for (const host of hosts)
  if (!(await host.waitUntilReady())) await deployment.finish(2, 'a host did not get ready');
await sleep(3_500);

const agent = new Agent({ keepAlive: true });
const calls = [];
const send = (host, path, tokens, deadlineMs, isWhole) => {
  const id = newId();
  const sentAt = world.now();
  const call = {
    ...host.front,
    method: 'POST',
    path,
    headers: clientHeaders(id, deadlineMs, tokens),
    body: `body ${id}`,
    agent,
  };
  calls.push(
    httpCall(call, deadlineMs).then((answer) => ({
      id,
      path,
      host,
      sentAt,
      endedAt: world.now(),
      answer,
      isWhole: isWhole(id, answer),
    })),
  );
};
const isStream = (id, { body }) => body === streamBody(id, EVENTS);
const isPlain = (id, { body, headers }) =>
  body === plainBody(id, headers['x-camphorvane-server-stamp']?.split('.')[0]);
// Opens the connections that the requests below are sent on, as clients keep them.
await Promise.all(
  hosts.flatMap((host) =>
    Array.from({ length: 9 }, () =>
      httpCall(
        {
          ...host.front,
          method: 'GET',
          path: '/lookup/1',
          headers: clientHeaders(newId(), 1_500),
          agent,
        },
        1_500,
      ),
    ),
  ),
);
for (const host of hosts)
  for (let index = 0; index < 6; index += 1)
    send(host, '/blend/1', [1_000, EVENTS], 14_000, isStream);
await sleep(500);
for (const host of hosts)
  for (let index = 0; index < 3; index += 1) send(host, '/reserve/1', undefined, 1_500, isPlain);
await sleep(100);
const wroteAt = world.now();
if (isTroubled) {
  deployment.note(
    'an entry of another writer, with the address 127.0.0.300:8080, among the servers',
  );
  store.write('servers', 'i-other', {
    service: 'attar-llm',
    address: '127.0.0.300:8080',
    zone: 'kolkata-a',
    version: 'v1',
    slots: 48,
    state: 'ready',
    'cold-left-ms': 0,
    stage: 'decode',
    models: [{ name: 'm', version: 1, adapters: [] }],
    seq: 1,
    born: Date.now(),
  });
}
const ends = await Promise.all(calls);
agent.destroy();
await sleep(200);
let lost = 0;
let unanswered = 0;
let whole = 0;
for (const { id, path, host, sentAt, endedAt, answer, isWhole } of ends) {
  const passedOn = world.arrivals.some(
    (arrival) => arrival.id === id && arrival.ranAt !== undefined,
  );
  const isLost = passedOn && !answer.isComplete;
  if (isLost) lost += 1;
  if (isLost && answer.status === undefined) unanswered += 1;
  if (answer.isComplete && isWhole) whole += 1;
  deployment.note(
    `client sent ${id} ${path} to ${host.name} at ${sentAt}, ended at ${endedAt}: status ${answer.status}, ${answer.isComplete ? 'complete' : `cut off (${answer.error ?? 'closed'})`}${isLost ? '; LOST, a sound server was at work on it' : ''}`,
  );
}
const ended = hosts.filter((host) => host.exits.length > 0);
for (const host of ended) {
  host
    .logTail(14)
    .filter((line) => /Error|Invalid|at /.test(line))
    .slice(0, 8)
    .forEach((line) =>
      deployment.note(
        `log of ${host.name}: ${line.replaceAll(/\/\S*\/(target|node_modules|node:)/g, '$1').slice(0, 160)}`,
      ),
    );
}
if (isTroubled && ended.length > 0) {
  ended[0].start();
  const isBack = await ended[0].waitUntilReady(6_000);
  deployment.note(
    `host ${ended[0].name} started again while the entry is there: ${isBack ? 'ready' : 'not ready within 6 s'}`,
  );
}
if (whole + lost === 0) await deployment.finish(2, 'no request was served');
await deployment.finish(
  unanswered > 3 ? 1 : 0,
  `${calls.length} requests, ${whole} whole, ${lost} cut off while a sound server was at work, ${unanswered} of them without any answer; ${ended.length} of ${hosts.length} hosts ended by themselves`,
);
