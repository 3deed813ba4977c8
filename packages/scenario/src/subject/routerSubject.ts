import { groupCoordination, Host, Metrics } from '@camphorvane/router';
import { RandomSource, sha256Hex } from '@camphorvane/core';
import type { Clock, RoutingConfig } from '@camphorvane/core';
import { applyConfig, readAcceptedRoot } from '@camphorvane/operator';
import type { ApplyBase } from '@camphorvane/operator';
import type { ObjectStore } from '@camphorvane/store';
import type { HostEdges, Subject, SubjectHost } from './Subject.ts';

const GROUP = 'g1';
const GROUP_SIZE = 9;
const PUBLISH_SEED = 1;
const PUBLISH_TRIES = 5;
const DRAIN_GRACE_MS = 60_000;

function build(edges: HostEdges): SubjectHost {
  const { id, zone, callerAddress, peerAddress, starts, clock, random, store } = edges;
  const incarnation = `${id}#${starts}`;
  const host = new Host({
    identity: { host: id, zone, callerAddress, peerAddress },
    incarnation,
    drainGraceMs: DRAIN_GRACE_MS,
    clock,
    random,
    coordination: groupCoordination({
      group: GROUP,
      groupSize: GROUP_SIZE,
      fleetHosts: GROUP_SIZE,
      store,
      link: edges.peers({ host: id, incarnation, protocol: 1 }),
    }),
    engines: edges.engines,
    servers: edges.servers,
    metrics: new Metrics(),
  });
  edges.listen(host);
  return {
    backend: host.backend,
    start: async () => host.start(),
    drain: () => host.drain(),
    configVersion: () => host.configVersion(),
  };
}

/**
 * Applies as an operator does who works against whatever is in force, and begins anew where
 * somebody else was quicker with a change of the same parts.
 */
async function publish(store: ObjectStore, clock: Clock, config: RoutingConfig): Promise<number> {
  const context = { store, clock, random: new RandomSource(PUBLISH_SEED) };
  let version = 0;
  let tries = 0;
  while (version === 0 && tries < PUBLISH_TRIES) {
    tries += 1;
    const accepted = await readAcceptedRoot(store);
    const before = accepted.isOk() ? accepted.value?.version : undefined;
    const base: ApplyBase =
      before === undefined ? { type: 'none' } : { type: 'version', version: before };
    const changeId = `change-${sha256Hex(JSON.stringify(config))}-${tries}`;
    const applied = await applyConfig(context, config, { changeId, base, merge: true });
    if (applied.isOk()) version = applied.value.version;
  }
  return version;
}

/** The hosts that the binary runs. */
export const ROUTER_SUBJECT: Subject = { build, publish };
