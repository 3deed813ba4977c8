/* eslint-disable */
// A host is killed while it passes on streams whose servers send them without a length.
import { Deployment, clientHeaders, configOf, httpCall, newId, sleep } from '../run.mjs';
import { FakeServer, streamBody } from '../servers.mjs';

const EVENTS = 70;
const STREAMS = 16;
/** With TROUBLE=0 the case does the same without the disruption. */
const isTroubled = process.env.TROUBLE !== '0';
const deployment = new Deployment(import.meta.dirname);
const { world, store } = deployment;
await deployment.startStore();
store.write('config', 'main', configOf(7));
const llm = { world, store, ip: deployment.ip(251), service: 'attar-llm', isUnframed: true };
await deployment.addServer(
  new FakeServer({ ...llm, id: 'i-prefill', zone: 'kolkata-a', stage: 'prefill' }),
);
await deployment.addServer(
  new FakeServer({ ...llm, id: 'i-decode-1', zone: 'kolkata-a', stage: 'decode' }),
);
await deployment.addServer(
  new FakeServer({ ...llm, id: 'i-decode-2', zone: 'kolkata-b', stage: 'decode' }),
);
const hosts = [
  await deployment.addHost('front-kolkata-a-1', 'kolkata-a'),
  await deployment.addHost('front-kolkata-b-1', 'kolkata-b'),
];
for (const host of hosts)
  if (!(await host.waitUntilReady())) await deployment.finish(2, 'a host did not get ready');
await sleep(1_500);

const calls = Array.from({ length: STREAMS }, async (_, index) => {
  await sleep(index * 20);
  const id = newId();
  const host = hosts[index % hosts.length];
  const sentAt = world.now();
  const answer = await httpCall(
    {
      ...host.front,
      method: 'POST',
      path: `/blend/${index}`,
      headers: clientHeaders(id, 14_000, [1_000, EVENTS]),
      body: `prompt ${id}`,
    },
    14_000,
  );
  return { id, host, sentAt, endedAt: world.now(), answer };
});
await sleep(1_000);
if (isTroubled) {
  hosts[0].isExpectedToEnd = true;
  hosts[0].signal('SIGKILL');
}
let broken = 0;
let whole = 0;
for (const { id, host, sentAt, endedAt, answer } of await Promise.all(calls)) {
  const isWhole = answer.body === streamBody(id, EVENTS);
  const isBroken = answer.status === 200 && answer.isComplete && !isWhole;
  if (isBroken) broken += 1;
  if (isWhole) whole += 1;
  const events = answer.body.split('\n\n').length - 1;
  const framing =
    answer.headers['transfer-encoding'] ??
    answer.headers['content-length'] ??
    'until the connection ends';
  deployment.note(
    `client sent ${id} to ${host.name} at ${sentAt}, ended at ${endedAt}: status ${answer.status}, framing ${framing}, ${events} of ${EVENTS} events, ` +
      `${answer.isComplete ? 'ended as complete' : `broke off (${answer.error ?? 'closed'})`}${isBroken ? '; BROKEN' : ''}`,
  );
}
if (whole === 0) await deployment.finish(2, 'no stream was served');
await deployment.finish(
  broken > 0 ? 1 : 0,
  `${STREAMS} streams, ${whole} whole, ${broken} ended as complete though their events were not`,
);
