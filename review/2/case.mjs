/* eslint-disable */
// A host that is leaving after SIGTERM gets SIGTERM once more.
import { Agent } from 'node:http';
import { Deployment, clientHeaders, configOf, httpCall, newId, sleep } from '../lib/run.mjs';
import { FakeServer, plainBody, streamBody } from '../lib/servers.mjs';

const EVENTS = 100;
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
const app = { ...common, service: 'ledger-app', slots: 6, workMs: 450 };
await deployment.addServer(new FakeServer({ ...app, id: 'i-app-1', zone: 'kolkata-a' }));
await deployment.addServer(new FakeServer({ ...app, id: 'i-app-2', zone: 'kolkata-b' }));
const hosts = [
  await deployment.addHost('front-kolkata-a-1', 'kolkata-a'),
  await deployment.addHost('front-kolkata-b-1', 'kolkata-b'),
];
for (const host of hosts)
  if (!(await host.waitUntilReady())) await deployment.finish(2, 'a host did not get ready');
await sleep(1_500);

const [host] = hosts;
const agent = new Agent({ keepAlive: true });
const calls = [];
const send = (path, tokens, deadlineMs, isWhole) => {
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
for (let index = 0; index < 8; index += 1) send('/blend/1', [1_000, EVENTS], 14_000, isStream);
await sleep(500);
for (let index = 0; index < 6; index += 1) send('/reserve/1', undefined, 1_500, isPlain);
await sleep(60);
const termAt = world.now();
host.signal('SIGTERM');
await sleep(200);
if (deployment.isTroubled) host.signal('SIGTERM');
const ends = await Promise.all(calls);
agent.destroy();
let lost = 0;
let whole = 0;
for (const { id, path, sentAt, endedAt, answer, isWhole } of ends) {
  const passedOn = world.arrivals.some((arrival) => arrival.id === id);
  const isLost = passedOn && !answer.isComplete && sentAt < termAt;
  if (isLost) lost += 1;
  if (answer.isComplete && isWhole) whole += 1;
  deployment.note(
    `client sent ${id} ${path} at ${sentAt}, ended at ${endedAt}: status ${answer.status}, ${answer.isComplete ? 'complete' : `cut off (${answer.error ?? 'closed'})`}${isLost ? '; LOST, it had been passed on to a server' : ''}`,
  );
}
if (whole + lost === 0) await deployment.finish(2, 'no request was served');
await deployment.finish(
  lost > 0 ? 1 : 0,
  `${calls.length} requests, ${whole} whole, ${lost} passed on to a server and cut off within 1 s of SIGTERM`,
);
