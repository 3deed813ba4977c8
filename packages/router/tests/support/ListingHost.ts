import type { ForwardRoute, RoutingConfig, SoftwareVersion } from '@camphorvane/core';
import { VirtualClock } from '@camphorvane/core';
import type { TakeUpDecision } from '@camphorvane/decisions';
import type { OriginAnswer } from '@camphorvane/peer/origins';
import { Metrics } from '@camphorvane/router';
import type { FleetMember } from '../../src/host/ports.ts';
import { UpstreamDirectory } from '../../src/host/UpstreamDirectory.ts';
import { StreamVersions } from '../../src/serving/StreamVersions.ts';
import { linkTo } from './linkTo.ts';

const SECOND_MS = 1_000;

const PEER = { host: 'peer', peerAddress: 'peer:1' } as FleetMember;

/** A host whose list of engines a test sets. */
export class ListingHost {
  readonly clock = new VirtualClock();

  isListCurrent = true;

  /** Reads the list as the store has it now; gets whether the store responds. */
  readList: () => boolean = () => true;

  /** The routes of the configuration. */
  routes: readonly ForwardRoute[] = [];

  /** Milliseconds for which the machine was suspended. */
  suspendedMs = 0;

  private readonly directory = new UpstreamDirectory(
    () => ({}) as never,
    () => ({}) as never,
  );

  private readonly versions: StreamVersions;

  constructor(answer?: OriginAnswer) {
    const { clock, directory } = this;
    this.list([{ type: 'known', name: 'v1' }]);
    this.versions = new StreamVersions({
      ...{ self: 'h', directory, metrics: new Metrics(), link: linkTo(answer) },
      clock: {
        now: () => clock.now(),
        wall: () => clock.wall() + this.suspendedMs,
        after: (delay, run) => clock.after(delay, run),
      },
      getMembers: () => [PEER],
      isListCurrent: () => this.isListCurrent,
      confirmList: async () => this.readList(),
      getRoutes: () => this.routes,
    });
    this.versions.recordVersions();
  }

  list(softwareVersions: readonly SoftwareVersion[]): void {
    const pools = [{ model: 'm', engines: [], softwareVersions }];
    this.directory.reconfigure({ pools, services: [] } as unknown as RoutingConfig);
  }

  async pass(seconds: number): Promise<void> {
    if (seconds === 0) return;
    await this.clock.advance(SECOND_MS);
    this.versions.recordVersions();
    await this.pass(seconds - 1);
  }

  /** Takes a stream up; gets the version, or that it is not known. */
  async takeUp(resumed?: string): Promise<string> {
    const decision: TakeUpDecision = await this.versions.takeUp('t', resumed, ['m']);
    if (decision.type === 'unknown') return decision.type;
    return decision.binding.type === 'bound' ? decision.binding.version : decision.binding.type;
  }
}
