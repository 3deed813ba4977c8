import type { UpstreamAdmission, EngineKnowledge } from '@camphorvane/decisions';
import type { UpstreamDirectory } from '../host/UpstreamDirectory.ts';
import type { LocalPlacer } from '../placing/LocalPlacer.ts';
import type { ReachChange } from '../reach/ReachMonitor.ts';

/** The parts of a host that hold what failed connections showed of upstreams. */
export interface ReachDependents {
  readonly directory: UpstreamDirectory;
  readonly placer: LocalPlacer;
  readonly admission: UpstreamAdmission;
  readonly knowledge: EngineKnowledge;
}

/**
 * Applies a change of the way to a service's upstreams. Requests that wait for them are refused while they can't
 * be reached; and what failed connections showed of them is dropped where only this host's links had failed.
 *
 * @param change - The change.
 * @param dependents - The parts of the host that it concerns.
 */
export function applyReachChange(
  { service, route, linksBackSince }: ReachChange,
  { directory, placer, admission, knowledge }: ReachDependents,
): void {
  placer.refuseUnreachable(service);
  if (route !== 'direct') return;
  const engines = directory.getPool(service)?.engines.map(({ id }) => id) ?? [];
  const servers = directory.getService(service)?.servers.map(({ id }) => id) ?? [];
  if (linksBackSince !== undefined) {
    admission.slowStart.recordLinksBack([...engines, ...servers], linksBackSince);
    engines.forEach((engine) => knowledge.health.recordSuccess(engine));
  }
  placer.probes.retryNow();
}
