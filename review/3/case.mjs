/* eslint-disable */
// A prefill engine spoils one byte in some of its answers.
import { Agent } from 'node:http';
import { Deployment, clientHeaders, configOf, httpCall, newId, sleep } from '../run.mjs';
import { FakeServer } from '../servers.mjs';

const EVENTS = 20;
/** One answer in so many is spoiled: 2.5 in 100. */
const SPOILED_ONE_IN = 40;
const SPOILING_MS = 5_500;
const STREAMS_AT_ONCE = 16;
const CALLS_AT_ONCE = 12;

/** With TROUBLE=0 the case does the same without the disruption. */
const isTroubled = process.env.TROUBLE !== '0';
const deployment = new Deployment(import.meta.dirname);
const { world, store } = deployment;
await deployment.startStore();
store.write('config', 'main', configOf(7));
const common = { world, store, ip: deployment.ip(251) };
const llm = { ...common, service: 'attar-llm' };
let isFaulty = false;
let answers = 0;
const spoil = (server) => {
  const { runPrefill } = server;
  server.runPrefill = (req, res, arrival) => {
    const end = res.end.bind(res);
    res.end = (body) => {
      answers += 1;
      const isSpoiled = isFaulty && typeof body === 'string' && answers % SPOILED_ONE_IN === 0;
      if (!isSpoiled) return end(body);
      const bytes = body.replace(/("tokens":)\d/, '$1-');
      deployment.note(
        `${server.id} spoils a byte of its answer to ${arrival.id}: ${body} becomes ${bytes}`,
      );
      return end(bytes);
    };
    return runPrefill.call(server, req, res, arrival);
  };
  return server;
};
await deployment.addServer(
  new FakeServer({ ...llm, id: 'i-prefill-1', zone: 'kolkata-a', stage: 'prefill' }),
);
await deployment.addServer(
  spoil(new FakeServer({ ...llm, id: 'i-prefill-2', zone: 'kolkata-b', stage: 'prefill' })),
);
await deployment.addServer(
  new FakeServer({ ...llm, id: 'i-decode-1', zone: 'kolkata-a', stage: 'decode' }),
);
await deployment.addServer(
  new FakeServer({ ...llm, id: 'i-decode-2', zone: 'kolkata-b', stage: 'decode' }),
);
const app = { ...common, service: 'ledger-app', slots: 6, workMs: 300 };
await deployment.addServer(new FakeServer({ ...app, id: 'i-app-1', zone: 'kolkata-a' }));
await deployment.addServer(new FakeServer({ ...app, id: 'i-app-2', zone: 'kolkata-b' }));
const hosts = [
  await deployment.addHost('front-kolkata-a-1', 'kolkata-a'),
  await deployment.addHost('front-kolkata-b-1', 'kolkata-b'),
];
for (const host of hosts)
  if (!(await host.waitUntilReady())) await deployment.finish(2, 'a host did not get ready');
await sleep(3_200);

const agent = new Agent({ keepAlive: true });
const calls = [];
let isEnding = false;
const load = async (index) => {
  await sleep(index * 40);
  while (!isEnding) {
    const host = hosts[index % hosts.length];
    // The platform starts a process that has ended again after a short delay.
    if (host.child === undefined) host.start();
    const id = newId();
    const isStream = index < STREAMS_AT_ONCE;
    const sentAt = world.now();
    const answer = await httpCall(
      {
        ...host.front,
        method: 'POST',
        path: isStream ? '/blend/1' : '/reserve/1',
        body: `body ${id}`,
        agent,
        headers: isStream ? clientHeaders(id, 14_000, [1_460, EVENTS]) : clientHeaders(id, 1_500),
      },
      isStream ? 14_000 : 1_500,
    );
    calls.push({ id, host: host.name, sentAt, endedAt: world.now(), answer });
    await sleep(answer.isComplete ? 20 : 400);
  }
};
const loads = Array.from({ length: STREAMS_AT_ONCE + CALLS_AT_ONCE }, (_, index) => load(index));
await sleep(1_000);
isFaulty = isTroubled;
await sleep(SPOILING_MS);
isFaulty = false;
await sleep(500);
isEnding = true;
await Promise.all(loads);
agent.destroy();

const atWork = new Set(
  world.arrivals
    .filter(
      ({ isPrefill, ranAt, server }) =>
        !isPrefill && ranAt !== undefined && !server.startsWith('i-prefill'),
    )
    .map(({ id }) => id),
);
const lost = calls.filter(({ id, answer }) => atWork.has(id) && !answer.isComplete);
const unanswered = lost.filter(({ answer }) => answer.status === undefined);
const whole = calls.filter(({ answer }) => answer.status === 200 && answer.isComplete);
lost.forEach(({ id, host, sentAt, endedAt, answer }) =>
  deployment.note(
    `client sent ${id} to ${host} at ${sentAt}, ended at ${endedAt}: status ${answer.status}, cut off (${answer.error ?? 'closed'}); LOST, a sound server was at work on it`,
  ),
);
const ends = hosts.reduce((sum, host) => sum + host.exits.length, 0);
const line = hosts.flatMap((host) => host.logTail(400)).find((text) => /^Error: /.test(text));
if (line !== undefined) deployment.note(`log of a host that ended: ${line}`);
if (whole.length === 0) await deployment.finish(2, 'no request was served');
await deployment.finish(
  unanswered.length > 3 ? 1 : 0,
  `${calls.length} requests, ${whole.length} whole, ${lost.length} cut off while a sound server was at work, ${unanswered.length} of them without any answer; processes ended by themselves ${ends} times`,
);
