/** What a host's share of a service's places follows from. */
export interface PlaceShareView {
  /** Calls that all servers of the service run at once. */
  readonly places: number;
  /** Calls that this host has on them, or waiting for them. */
  readonly own: number;
  /** Calls that the hosts have which were heard lately, this one left out. */
  readonly others: number;
  /** Hosts that were not heard lately. */
  readonly unheard: number;
  /** All hosts. */
  readonly hosts: number;
}

/**
 * Gets how many calls a host may have on a service's servers.
 *
 * Made for callers that come to a few of the hosts: with equal parts, those hosts refuse calls while
 * the places of the others stay empty. Each host gets what it has calls for, and an equal part of what
 * is left then; where there is not enough, each gets its part of the calls. A host that says nothing may
 * be using its equal part.
 *
 * @param view - The places and who wants them.
 * @returns Places, not rounded.
 */
export function placeShare({ places, own, others, unheard, hosts }: PlaceShareView): number {
  const known = Math.max(0, places - (unheard * places) / hosts);
  const wanted = own + others;
  if (wanted <= known) return own + (known - wanted) / Math.max(1, hosts - unheard);
  return (known * own) / wanted;
}
