import type { EngineConfig, ModelId, PoolConfig, UpstreamId } from '@camphorvane/core';

/** What a pool is made of at first; engines are added one by one. */
export type PoolStructure = Omit<PoolConfig, 'engines'>;

/** What an engine is made of, in the pool's builder; it refuses old orders unless said otherwise. */
export type EngineStructure = Omit<EngineConfig, 'role' | 'checksFencing'> &
  Partial<Pick<EngineConfig, 'checksFencing'>>;

/** The pool of one model, of a {@link ConfigBuilder}. */
export class PoolBuilder {
  private pool: PoolConfig;

  /** @param structure - The pool as it is at first. */
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
   * @param id - Its name.
   * @returns The engine, or undefined where the pool has none of that name.
   */
  getEngine(id: UpstreamId): EngineConfig | undefined {
    return this.pool.engines.find((engine) => engine.id === id);
  }

  /**
   * Gets an engine, or throws where the pool has none of that name.
   *
   * @param id - Its name.
   */
  getEngineOrThrow(id: UpstreamId): EngineConfig {
    const engine = this.getEngine(id);
    if (engine === undefined) throw new Error(`no engine ${id} in the pool of ${this.getModel()}`);
    return engine;
  }

  /**
   * Adds an engine that runs prompts.
   *
   * @param engine - The engine.
   */
  addPrefillEngine(engine: EngineStructure): this {
    return this.add({ checksFencing: true, ...engine, role: 'prefill' });
  }

  /**
   * Adds an engine that writes answers.
   *
   * @param engine - The engine.
   */
  addDecodeEngine(engine: EngineStructure): this {
    return this.add({ checksFencing: true, ...engine, role: 'decode' });
  }

  /**
   * Takes an engine out; one that the pool does not have changes nothing.
   *
   * @param id - Its name.
   */
  removeEngine(id: UpstreamId): this {
    const engines = this.pool.engines.filter((engine) => engine.id !== id);
    this.pool = { ...this.pool, engines };
    return this;
  }

  /** Gets the pool as it stands. */
  build(): PoolConfig {
    return this.pool;
  }

  private add(engine: EngineConfig): this {
    this.pool = { ...this.pool, engines: [...this.pool.engines, engine] };
    return this;
  }
}
