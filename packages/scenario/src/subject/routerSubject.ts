import { Host, Metrics } from '@camphorvane/router';
import type { ClaimBook } from '@camphorvane/router';
import type { RoutingConfig } from '@camphorvane/core';
import type { ObjectStore } from '@camphorvane/platform';
import type { HostEdges, Subject, SubjectHost } from './Subject.ts';

const GROUP = 'g1';
const GROUP_SIZE = 9;
const DRAIN_GRACE_MS = 60_000;

const NO_CLAIMS: ClaimBook = {
  claim: () => Promise.resolve({ type: 'claimed' }),
  finish: () => Promise.resolve(),
  abandon: () => Promise.resolve(),
};

function build(edges: HostEdges): SubjectHost {
  const { id, zone, callerAddress, peerAddress, starts, clock, random, store } = edges;
  const incarnation = `${id}#${starts}`;
  const host = new Host({
    identity: { host: id, zone, callerAddress, peerAddress },
    incarnation,
    group: GROUP,
    groupSize: GROUP_SIZE,
    drainGraceMs: DRAIN_GRACE_MS,
    clock,
    random,
    store,
    link: edges.peers({ host: id, incarnation, protocol: 1 }),
    engines: edges.engines,
    servers: edges.servers,
    claims: NO_CLAIMS,
    metrics: new Metrics(),
  });
  edges.listen(host);
  return {
    backend: host.backend,
    start: async () => host.start(),
    drain: () => host.drain(),
    configVersion: () => (host.dump() as { configVersion: number }).configVersion,
  };
}

async function publish(store: ObjectStore, _: unknown, config: RoutingConfig): Promise<number> {
  const old = await store.get('config', 'current');
  const expected = old.isOk() ? (old.value?.version ?? 'absent') : 'absent';
  const put = await store.put('config', 'current', config, expected);
  return put.isOk() ? put.value.version : 0;
}

/** The hosts that the binary runs. */
export const ROUTER_SUBJECT: Subject = { build, publish };
