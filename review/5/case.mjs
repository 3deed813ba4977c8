/* eslint-disable */
// A server's entry is removed while the hosts' open connections to the store are silent.
import { Deployment, clientHeaders, configOf, freePorts, httpCall, newId, sleep } from '../run.mjs';
import { Proxy } from '../proxy.mjs';
import { FakeServer } from '../servers.mjs';

/** Bounds of the sheet, in milliseconds. */
const DRAIN_MS = 2_000;
const STABLE_WINDOW_MS = 3_000;
/** The server goes on serving for `drain-ms` and a little longer, and then exits. */
const SERVES_ON_MS = DRAIN_MS + 1_600;

/** With TROUBLE=0 the case does the same without the disruption. */
const isTroubled = process.env.TROUBLE !== '0';
const deployment = new Deployment(import.meta.dirname);
const { world, store } = deployment;
await deployment.startStore();
store.write('config', 'main', configOf(7));
const common = { world, store, ip: deployment.ip(251) };
await deployment.addServer(
  new FakeServer({
    ...common,
    service: 'attar-llm',
    id: 'i-prefill',
    zone: 'kolkata-a',
    stage: 'prefill',
  }),
);
await deployment.addServer(
  new FakeServer({
    ...common,
    service: 'attar-llm',
    id: 'i-decode',
    zone: 'kolkata-b',
    stage: 'decode',
  }),
);
const app = { ...common, service: 'ledger-app', slots: 6, workMs: 300 };
const servers = [];
for (const [id, zone] of [
  ['i-app-1', 'kolkata-a'],
  ['i-app-2', 'kolkata-b'],
  ['i-app-3', 'howrah'],
]) {
  servers.push(await deployment.addServer(new FakeServer({ ...app, id, zone })));
  await sleep(300);
}
const [storeIp, storePort] = deployment.storeAddress.split(':');
const proxies = [];
for (const [name, zone] of [
  ['front-kolkata-a-1', 'kolkata-a'],
  ['front-kolkata-b-1', 'kolkata-b'],
  ['front-howrah-1', 'howrah'],
]) {
  const proxy = new Proxy({ ip: storeIp, port: Number(storePort) });
  const ip = deployment.ip(100 + proxies.length);
  const [port] = await freePorts(ip, 1);
  await proxy.listen(ip, port);
  proxies.push(proxy);
  await deployment.addHost(name, zone, {}, `${ip}:${port}`);
}
const { hosts } = deployment;
for (const host of hosts)
  if (!(await host.waitUntilReady())) await deployment.finish(2, 'a host did not get ready');
await sleep(4_000);

let isEnding = false;
const calls = [];
const load = async (host, index) => {
  await sleep(index * 17);
  while (!isEnding) {
    const id = newId();
    const path = index % 2 === 0 ? '/lookup/1' : '/reserve/1';
    const sentAt = world.now();
    const call = {
      ...host.front,
      method: 'POST',
      path,
      headers: clientHeaders(id, 1_500),
      body: `body ${id}`,
    };
    const { status } = await httpCall(call, 1_500);
    calls.push({ id, path, host: host.name, sentAt, status });
    await sleep(100);
  }
};
const loads = hosts.flatMap((host) => [0, 1, 2, 3].map((index) => load(host, index)));
await sleep(1_000);

const [leaving] = servers;
const silentAt = world.now();
if (isTroubled) {
  const count = proxies.reduce((sum, proxy) => sum + proxy.silenceOpen(), 0);
  deployment.note(`${count} open connections of the hosts to the store go silent; new ones work`);
}
await sleep(100);
// A server that never reports draining: its entry is removed, and it goes on serving.
clearInterval(leaving.timer);
store.remove('servers', leaving.id);
const removedAt = world.now();
deployment.note(
  `the store acknowledges that the entry of ${leaving.id} is removed; the server goes on serving`,
);
await sleep(SERVES_ON_MS);
deployment.note(`${leaving.id} exits with ${leaving.running} requests at work`);
leaving.crash();
await sleep(6_500 - SERVES_ON_MS);
isEnding = true;
await Promise.all(loads);

const hostOf = new Map(calls.map(({ id, host }) => [id, host]));
const arrivals = world.arrivals.filter(({ server }) => server === leaving.id);
const before = arrivals.filter(({ at }) => at <= removedAt).length;
const late = arrivals.filter(
  ({ at }) => at > removedAt + DRAIN_MS && (!isTroubled || at > silentAt + STABLE_WINDOW_MS),
);
late.forEach(({ id, at }) =>
  deployment.note(
    `${id} from ${hostOf.get(id)} reaches ${leaving.id} at ${at}, ${at - removedAt} ms after the acknowledgement and ${at - silentAt} ms after the silence`,
  ),
);
const lateIds = new Set(late.map(({ id }) => id));
const lost = calls.filter(
  ({ id, path, status }) => path.startsWith('/reserve') && lateIds.has(id) && status !== 200,
);
lost.forEach(({ id, status }) =>
  deployment.note(
    `the client of ${id}, which must not repeat, gets ${status ?? 'no answer'}: LOST with the server`,
  ),
);
const served = calls.filter(({ status }) => status === 200).length;
proxies.forEach((proxy) => proxy.close());
if (served === 0 || before === 0)
  await deployment.finish(2, 'no request was served by the server that leaves');
await deployment.finish(
  late.length > 0 ? 1 : 0,
  `${calls.length} requests, ${served} served; ${late.length} reached the server that had left later than ${DRAIN_MS} ms after the acknowledgement, from hosts in touch; ${lost.length} of these that must not repeat were lost as it exited`,
);
