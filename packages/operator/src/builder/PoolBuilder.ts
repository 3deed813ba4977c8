import type { EngineConfig, ModelId, PoolConfig, UpstreamId } from '@camphorvane/core';

/** Settings of a new pool; engines are added one by one. */
export type PoolStructure = Omit<PoolConfig, 'engines'>;

/** Settings of a new engine; by default it rejects orders with an outdated fencing token. */
export type EngineStructure = Omit<EngineConfig, 'role' | 'checksFencing'> &
  Partial<Pick<EngineConfig, 'checksFencing'>>;

/** Builds the pool of one model in a {@link ConfigBuilder}. */
export class PoolBuilder {
  private pool: PoolConfig;

  /** @param structure - The pool's settings, without engines. */
  constructor(structure: PoolStructure) {
    this.pool = { ...structure, engines: [] };
  }

  /** Gets the model that the pool serves. */
  getModel(): ModelId {
    return this.pool.model;
  }

  /**
   * Gets an engine.
   *
   * @param id - The engine's name.
   * @returns The engine, or undefined if the pool has no such engine.
   */
  getEngine(id: UpstreamId): EngineConfig | undefined {
    return this.pool.engines.find((engine) => engine.id === id);
  }

  /**
   * Gets an engine, or throws if the pool has no such engine.
   *
   * @param id - The engine's name.
   */
  getEngineOrThrow(id: UpstreamId): EngineConfig {
    const engine = this.getEngine(id);
    if (engine === undefined) throw new Error(`no engine ${id} in the pool of ${this.getModel()}`);
    return engine;
  }

  /**
   * Adds an engine for the prefill stage.
   *
   * @param engine - The engine.
   */
  addPrefillEngine(engine: EngineStructure): this {
    return this.addEngine({ checksFencing: true, ...engine, role: 'prefill' });
  }

  /**
   * Adds an engine for the decode stage.
   *
   * @param engine - The engine.
   */
  addDecodeEngine(engine: EngineStructure): this {
    return this.addEngine({ checksFencing: true, ...engine, role: 'decode' });
  }

  /**
   * Removes an engine.
   *
   * @param id - The engine's name; an unknown name has no effect.
   */
  removeEngine(id: UpstreamId): this {
    const engines = this.pool.engines.filter((engine) => engine.id !== id);
    this.pool = { ...this.pool, engines };
    return this;
  }

  /** Gets the pool without validating it. */
  build(): PoolConfig {
    return this.pool;
  }

  private addEngine(engine: EngineConfig): this {
    this.pool = { ...this.pool, engines: [...this.pool.engines, engine] };
    return this;
  }
}
