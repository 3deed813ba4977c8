import type { EngineKnowledge } from '@camphorvane/decisions';
import { StoreLease } from '@camphorvane/store';
import { RoleControl } from '../placing/RoleControl.ts';
import type { CoordinationContext } from './HostCoordination.ts';
import type { StoreCoordinationOptions } from './StoreCoordinationOptions.ts';

/** Name of the lease of the host that changes the roles of engines. */
const ROLES_LEASE = 'roles';

/** Dependencies of the role control of a host. */
export interface RoleControlDependencies {
  readonly options: Pick<StoreCoordinationOptions, 'store' | 'format' | 'leaseMs' | 'metrics'>;
  readonly context: CoordinationContext;
  readonly knowledge: EngineKnowledge;
  /** See {@link RoleControlOptions.rank}. */
  readonly rank: () => number | undefined;
  /** See {@link RoleControlOptions.announce}. */
  readonly announce: () => void;
}

/**
 * Creates the role control for hosts that share a store.
 *
 * @param sources - The store and this host.
 * @returns The role control, which does nothing before it is run.
 */
export function createRoleControl(sources: RoleControlDependencies): RoleControl {
  const { options, context, knowledge, rank, announce } = sources;
  const { store, format, leaseMs, metrics } = options;
  const { clock, identity, incarnation, directory } = context;
  // A replacement host may have the name of the host before it, but not its address.
  const holder = `${identity.host} ${identity.peerAddress}`;
  const lease = new StoreLease({
    ...{ store, clock, holder, incarnation, leaseMs },
    ...{ kind: format.leaseKind, name: ROLES_LEASE },
  });
  return new RoleControl({ clock, directory, knowledge, lease, holder, rank, announce, metrics });
}
