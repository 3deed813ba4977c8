import type { ModelId, TeamConfig, TeamId, TeamRate, Tokens } from '@camphorvane/core';

/** Settings of a new team; omitted ones take the defaults of the declarations. */
export interface TeamStructure {
  readonly id: TeamId;
  /** Rate in tokens per second, over all hosts. */
  readonly tokensPerSecond: Tokens;
  /** Tokens that the team may use at once after an idle period. */
  readonly burstTokens: Tokens;
  /** Digests of the team's keys, from `newKey`. */
  readonly keyDigests?: readonly string[];
  /** Models that the team may use; all if empty. */
  readonly models?: readonly ModelId[];
  /** Weight in fair queueing, 1 by default. */
  readonly weight?: number;
}

/** Builds a team in a {@link ConfigBuilder}. */
export class TeamBuilder {
  private team: TeamConfig;

  /** @param structure - The team's settings. */
  constructor(structure: TeamStructure) {
    const { id, tokensPerSecond, burstTokens, keyDigests, models, weight } = structure;
    this.team = {
      id,
      rate: { tokensPerSecond, burstTokens },
      keyDigests: keyDigests ?? [],
      models: models ?? [],
      weight: weight ?? 1,
    };
  }

  /** Gets the team's name. */
  getId(): TeamId {
    return this.team.id;
  }

  /** Gets the team's rate and burst. */
  getRate(): TeamRate {
    return this.team.rate;
  }

  /**
   * Sets the rate.
   *
   * @param tokensPerSecond - Tokens per second, over all hosts.
   */
  setRate(tokensPerSecond: Tokens): this {
    return this.change({ rate: { ...this.team.rate, tokensPerSecond } });
  }

  /**
   * Sets the burst.
   *
   * @param burstTokens - Tokens that the team may use at once after an idle period.
   */
  setBurst(burstTokens: Tokens): this {
    return this.change({ rate: { ...this.team.rate, burstTokens } });
  }

  /**
   * Sets the weight in fair queueing.
   *
   * @param weight - The weight; the default is 1.
   */
  setWeight(weight: number): this {
    return this.change({ weight });
  }

  /**
   * Adds a key.
   *
   * @param digest - The digest of the key, from `newKey`.
   */
  addKeyDigest(digest: string): this {
    return this.change({ keyDigests: [...this.team.keyDigests, digest] });
  }

  /**
   * Removes a key.
   *
   * @param digest - The digest of the key; an unknown digest has no effect.
   */
  removeKeyDigest(digest: string): this {
    return this.change({ keyDigests: this.team.keyDigests.filter((other) => other !== digest) });
  }

  /**
   * Adds an allowed model; a team without any may use all models.
   *
   * @param model - The model of a pool.
   */
  allowModel(model: ModelId): this {
    return this.change({ models: [...this.team.models, model] });
  }

  /** Gets the team without validating it. */
  build(): TeamConfig {
    return this.team;
  }

  private change(change: Partial<TeamConfig>): this {
    this.team = { ...this.team, ...change };
    return this;
  }
}
