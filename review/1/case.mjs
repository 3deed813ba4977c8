/* eslint-disable */
// A resumable stream whose engine crashes is sent on to another engine, which answers 500.
import { Deployment, clientHeaders, configOf, httpCall, newId, sleep } from '../run.mjs';
import { FakeServer, streamBody } from '../servers.mjs';

const STREAMS = 150;
const EVENTS = 70;
/** Part of its requests that the grey engine fails. */
const FAILING_PART = 0.45;

/** With TROUBLE=0 the case does the same without the disruption. */
const isTroubled = process.env.TROUBLE !== '0';
const deployment = new Deployment(import.meta.dirname);
const { world, store } = deployment;
await deployment.startStore();
store.write('config', 'main', configOf(7));
let isGrey = false;
let greyRequests = 0;
const common = { service: 'attar-llm', world, store, ip: deployment.ip(251) };
await deployment.addServer(
  new FakeServer({ ...common, id: 'i-prefill', zone: 'kolkata-a', stage: 'prefill' }),
);
const decode = [];
const ZONES = ['kolkata-a', 'kolkata-b', 'howrah'];
// With the prefill engine eight servers: two that crash are a share of 0.25, a grey one is 0.125.
for (let n = 1; n <= 7; n += 1) {
  const id = `i-decode-${n}`;
  const zone = ZONES[n % 3];
  const server = new FakeServer({
    ...common,
    id,
    zone,
    stage: 'decode',
    onRun(arrival, req, res) {
      if (!isGrey || id !== 'i-decode-3') return false;
      greyRequests += 1;
      const isFailed =
        Math.floor(greyRequests * FAILING_PART) > Math.floor((greyRequests - 1) * FAILING_PART);
      if (isFailed) this.fail(res, arrival);
      return isFailed;
    },
  });
  decode.push(await deployment.addServer(server));
}
await deployment.addServer(
  new FakeServer({ ...common, service: 'ledger-app', id: 'i-app', zone: 'howrah', slots: 6 }),
);
const hosts = [
  await deployment.addHost('front-kolkata-a-1', 'kolkata-a'),
  await deployment.addHost('front-kolkata-b-1', 'kolkata-b'),
];
for (const host of hosts)
  if (!(await host.waitUntilReady())) await deployment.finish(2, 'a host did not get ready');
await sleep(1_500);

const calls = Array.from({ length: STREAMS }, async (_, index) => {
  await sleep(index * 5);
  const id = newId();
  const host = hosts[index % hosts.length];
  const sentAt = world.now();
  const answer = await httpCall(
    {
      ...host.front,
      method: 'POST',
      path: `/digest/${index}`,
      headers: clientHeaders(id, 14_000, [1_000, EVENTS]),
      body: `prompt ${id}`,
    },
    14_000,
  );
  return { id, sentAt, answer };
});
await sleep(1_100);
if (isTroubled) {
  deployment.note(
    `engines ${decode[0].id} and ${decode[1].id} crash; engine ${decode[2].id} fails ${FAILING_PART} of its requests with status 500 from now on`,
  );
  isGrey = true;
  decode[0].crash();
  decode[1].crash();
}
let broken = 0;
let whole = 0;
for (const { id, sentAt, answer } of await Promise.all(calls)) {
  const isWhole = answer.body === streamBody(id, EVENTS);
  const isBroken = answer.status === 200 && answer.isComplete && !isWhole;
  if (isBroken) broken += 1;
  if (isWhole) whole += 1;
  const events = answer.body.split('\n\n').length - 1;
  deployment.note(
    `client sent ${id} at ${sentAt}: status ${answer.status}, stamp ${answer.headers['x-camphorvane-server-stamp']}, ${events} events, ` +
      `${answer.isComplete ? 'ended as complete' : `broke off (${answer.error ?? 'closed'})`}${isBroken ? `; BROKEN, it ends with ${JSON.stringify(answer.body.slice(-60))}` : ''}`,
  );
}
if (whole === 0) await deployment.finish(2, 'no stream was served');
await deployment.finish(
  broken > 0 ? 1 : 0,
  `${STREAMS} streams, ${whole} whole, ${broken} ended as complete though their events were not`,
);
