import type { HostId, UpstreamId } from '@camphorvane/core';
import type { SimRequest } from '../workload/SimRequest.ts';
import { TokenBucket } from '../workload/TokenBucket.ts';
import { BaselinePolicy, type EnginePair } from './BaselinePolicy.ts';

/** Each host takes the engines in turn and gives each team its rate divided by the hosts. */
export class RoundRobin extends BaselinePolicy {
  private readonly buckets = new Map<string, TokenBucket>();

  private readonly turns = new Map<HostId, number>();

  protected admits(request: SimRequest): boolean {
    const cost = request.promptTokens + request.maxOutputTokens;
    return this.getBucket(request).take(cost, request.arrivesAt);
  }

  protected choose(request: SimRequest): EnginePair | undefined {
    const { prefills, decodes, down } = this.ctx.world;
    const turn = this.turns.get(request.host) ?? Number(request.host.split('-')[1]);
    this.turns.set(request.host, turn + 1);
    const pick = (engines: readonly { readonly id: UpstreamId }[]): UpstreamId | undefined => {
      const up = engines.filter((engine) => !down.has(engine.id));
      return up[turn % Math.max(1, up.length)]?.id;
    };
    const [prefill, decode] = [pick(prefills), pick(decodes)];
    return prefill === undefined || decode === undefined ? undefined : { prefill, decode };
  }

  private getBucket(request: SimRequest): TokenBucket {
    const name = `${request.host}/${request.team}`;
    const known = this.buckets.get(name);
    if (known !== undefined) return known;
    const { hosts, rateFactor, teams } = this.ctx.world.workload;
    const team = teams.find((other) => other.id === request.team);
    const bucket = new TokenBucket(
      ((team?.tokensPerSecond ?? 0) * rateFactor) / hosts,
      ((team?.burstTokens ?? 0) * rateFactor) / hosts,
    );
    this.buckets.set(name, bucket);
    return bucket;
  }
}
