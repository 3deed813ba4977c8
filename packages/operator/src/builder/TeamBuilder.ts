import type { ModelId, TeamConfig, TeamId, TeamRate, Tokens } from '@camphorvane/core';

/** What a team is made of; what is left out takes the value that the declarations default to. */
export interface TeamStructure {
  readonly id: TeamId;
  /** Tokens a second over all hosts together. */
  readonly tokensPerSecond: Tokens;
  /** Tokens that the team may use at once after it was idle. */
  readonly burstTokens: Tokens;
  readonly keyDigests?: readonly string[];
  readonly models?: readonly ModelId[];
  readonly weight?: number;
}

/** A team of a {@link ConfigBuilder}. */
export class TeamBuilder {
  private team: TeamConfig;

  /** @param structure - The team as it is at first. */
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
   * @param tokensPerSecond - Tokens a second over all hosts together.
   */
  setRate(tokensPerSecond: Tokens): this {
    return this.change({ rate: { ...this.team.rate, tokensPerSecond } });
  }

  /**
   * Sets the burst.
   *
   * @param burstTokens - Tokens that the team may use at once after it was idle.
   */
  setBurst(burstTokens: Tokens): this {
    return this.change({ rate: { ...this.team.rate, burstTokens } });
  }

  /**
   * Sets the weight in fair queueing.
   *
   * @param weight - 1 for an ordinary team.
   */
  setWeight(weight: number): this {
    return this.change({ weight });
  }

  /**
   * Gives the team a key.
   *
   * @param digest - The key's digest, from `newKey`.
   */
  addKeyDigest(digest: string): this {
    return this.change({ keyDigests: [...this.team.keyDigests, digest] });
  }

  /**
   * Withdraws a key; one that the team does not hold changes nothing.
   *
   * @param digest - The key's digest.
   */
  removeKeyDigest(digest: string): this {
    return this.change({ keyDigests: this.team.keyDigests.filter((held) => held !== digest) });
  }

  /**
   * Restricts the team to the models that were allowed so; without any it may ask for all.
   *
   * @param model - A model of a pool.
   */
  allowModel(model: ModelId): this {
    return this.change({ models: [...this.team.models, model] });
  }

  /** Gets the team as it stands. */
  build(): TeamConfig {
    return this.team;
  }

  private change(change: Partial<TeamConfig>): this {
    this.team = { ...this.team, ...change };
    return this;
  }
}
