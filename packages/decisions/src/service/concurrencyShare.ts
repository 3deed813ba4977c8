/** Capacity of a service and demand of the hosts, from which a host's share follows. */
export interface ConcurrencyDemand {
  /** Calls that all servers of the service run concurrently. */
  readonly concurrency: number;
  /** Calls of this host that are in flight or queued. */
  readonly ownCalls: number;
  /** Calls of the other hosts that have not timed out. */
  readonly peerCalls: number;
  /** Number of hosts that have timed out: those without a recent gossip message. */
  readonly silentHosts: number;
  /** Number of all hosts. */
  readonly hosts: number;
}

/**
 * Gets a host's share of a service's concurrency.
 *
 * If callers use only a few hosts, equal shares would make these refuse calls while the shares of the
 * others stay unused. So each host gets capacity for its own calls and an equal share of what is left;
 * if there is too little, capacity is divided in proportion to the hosts' calls. A host that has
 * timed out may be using its equal share, which is kept for it.
 *
 * @param view - The capacity and the calls of the hosts.
 * @returns Most calls in flight, not rounded.
 */
export function concurrencyShare({
  concurrency,
  ownCalls,
  peerCalls,
  silentHosts,
  hosts,
}: ConcurrencyDemand): number {
  const available = Math.max(0, concurrency - (silentHosts * concurrency) / hosts);
  const demand = ownCalls + peerCalls;
  if (demand <= available)
    return ownCalls + (available - demand) / Math.max(1, hosts - silentHosts);
  return (available * ownCalls) / demand;
}
