import { sha256Hex, sleep, type Millis, type RoutingConfig } from '@camphorvane/core';
import {
  Backoff,
  CHUNK_KIND,
  CONFIG_KIND,
  MANIFEST_KIND,
  ROOT_NAME,
  chunkConfig,
  configDigest,
  serializeManifest,
  type ChunkedConfig,
  type ConfigRoot,
  type ObjectVersion,
  type PlatformError,
} from '@camphorvane/store';
import { err, ok, type Result } from 'neverthrow';
import { findConfigFaults } from '../declarations/findConfigFaults.ts';
import type { ApplyContext } from './ApplyContext.ts';
import type { ApplyError } from './ApplyError.ts';
import { BlobWriter } from './BlobWriter.ts';
import {
  EMPTY_CONFIG,
  conflictingItems,
  diffConfigs,
  mergeConfigs,
  type ConfigChange,
} from './configDiff.ts';
import { UNUSED_BLOB_GRACE_MS, deleteUnusedBlobs } from './deleteUnusedBlobs.ts';
import {
  readAcceptedRoot,
  readArchivedConfig,
  readManifestConfig,
  type AcceptedRoot,
} from './readAcceptedConfig.ts';

/** The configuration that a change is based on. */
export type ApplyBase =
  /** No configuration: this is the first one. */
  | { readonly type: 'none' }
  /** The configuration accepted as a version. */
  | { readonly type: 'version'; readonly version: ObjectVersion }
  /** A configuration given by its contents, such as the file before this change. */
  | { readonly type: 'config'; readonly config: RoutingConfig };

/** Options of {@link applyConfig}. */
export interface ApplyOptions {
  /** Idempotency key: applying again with the same id has no further effect. */
  readonly changeId: string;
  readonly base: ApplyBase;
  /** Merges with changes made since the base, unless both sides changed the same item. */
  readonly merge?: boolean;
}

/** The outcome of a successful apply. */
export interface ApplySuccess {
  /** The version as which the configuration was accepted. */
  readonly version: ObjectVersion;
  readonly outcome: 'applied' | 'already_applied' | 'unchanged';
  /** The newest version; higher than `version` if later changes were accepted. */
  readonly inForce: ObjectVersion;
  /** Differences from the previous configuration in force; empty unless `applied`. */
  readonly changes: readonly ConfigChange[];
}

/** Earlier configurations kept in the root, which a change may still use as its base. */
const MAX_HISTORY = 16;

/** Largest text of a part, in bytes; platform values are limited to 1 MB including JSON escapes. */
const MAX_PART_BYTES = 700_000;

/** Attempts before an apply fails as unavailable or with an unknown outcome. */
const MAX_ATTEMPTS = 8;

const RETRY_BACKOFF: { readonly baseMs: Millis; readonly maxMs: Millis } = {
  baseMs: 200,
  maxMs: 2000,
};

/** How long a written blob is reused, well within the grace period of garbage collection. */
const BLOB_REUSE_MS = UNUSED_BLOB_GRACE_MS / 4;

type ApplyOutcome = Result<ApplySuccess, ApplyError>;

type Attempt =
  { readonly type: 'done'; readonly outcome: ApplyOutcome } | { readonly type: 'again' };

interface ApplyPlan {
  readonly config: RoutingConfig;
  readonly changes: readonly ConfigChange[];
}

const RETRY_ATTEMPT: Attempt = { type: 'again' };

function withoutChanges(
  version: ObjectVersion,
  inForce: ObjectVersion,
  outcome: ApplySuccess['outcome'],
): ApplySuccess {
  return { version, outcome, inForce, changes: [] };
}

function done(outcome: ApplyOutcome): Attempt {
  return { type: 'done', outcome };
}

/** One run of {@link applyConfig}. */
class ConfigApply {
  private readonly context: ApplyContext;

  private readonly config: RoutingConfig;

  private readonly options: ApplyOptions;

  private readonly requestDigest: string;

  private readonly writer: BlobWriter;

  /** True once a root write got no response and may have taken effect. */
  private isRootWriteUnconfirmed = false;

  private lastErrorMessage = 'the platform does not respond';

  constructor(context: ApplyContext, config: RoutingConfig, options: ApplyOptions) {
    this.context = context;
    this.config = config;
    this.options = options;
    this.requestDigest = configDigest(config);
    this.writer = new BlobWriter(context.store, context.clock);
  }

  async run(): Promise<ApplyOutcome> {
    const faults = findConfigFaults(this.config);
    if (faults.length > 0) return err({ type: 'invalid', faults });
    const backoff = new Backoff(this.context.random, RETRY_BACKOFF);
    let attempts = 0;
    while (attempts < MAX_ATTEMPTS) {
      const attempt = await this.attempt();
      if (attempt.type === 'done') return attempt.outcome;
      attempts += 1;
      await sleep(this.context.clock, backoff.nextDelayMs());
    }
    const { changeId } = this.options;
    if (this.isRootWriteUnconfirmed) return err({ type: 'outcome_unknown', changeId });
    return err({ type: 'unavailable', message: this.lastErrorMessage });
  }

  private async attempt(): Promise<Attempt> {
    const accepted = await readAcceptedRoot(this.context.store);
    if (accepted.isErr()) return this.handleApplyError(accepted.error);
    const known = this.findAcceptedChange(accepted.value);
    if (known !== undefined) return done(known);
    const plan = await this.plan(accepted.value);
    if (plan.isErr()) return this.handleApplyError(plan.error);
    const previous = accepted.value;
    if (previous !== undefined && plan.value.changes.length === 0) {
      return done(ok(withoutChanges(previous.version, previous.version, 'unchanged')));
    }
    return this.write(plan.value, previous);
  }

  /** Finds this change among those accepted, after a lost response or a repeated apply. */
  private findAcceptedChange(accepted: AcceptedRoot | undefined): ApplyOutcome | undefined {
    if (accepted === undefined) return undefined;
    const { root, version } = accepted;
    const found = [{ version, ...root }, ...root.history].find(
      (entry) => entry.changeId === this.options.changeId,
    );
    if (found === undefined) return undefined;
    return found.requestDigest === this.requestDigest
      ? ok(withoutChanges(found.version, version, 'already_applied'))
      : err({ type: 'change_id_reused', version: found.version });
  }

  private async plan(accepted: AcceptedRoot | undefined): Promise<Result<ApplyPlan, ApplyError>> {
    const current = await this.currentConfig(accepted);
    if (current.isErr()) return err(current.error);
    const base = await this.baseConfig(accepted, current.value);
    if (base.isErr()) return err(base.error);
    return this.mergeOntoCurrent(base.value, current.value, accepted?.version ?? 0).map(
      (config) => ({
        config,
        changes: diffConfigs(current.value, config),
      }),
    );
  }

  private mergeOntoCurrent(
    base: RoutingConfig,
    current: RoutingConfig,
    version: ObjectVersion,
  ): Result<RoutingConfig, ApplyError> {
    const theirs = diffConfigs(base, current);
    const needsNoMerge = theirs.length === 0 || diffConfigs(current, this.config).length === 0;
    if (needsNoMerge) return ok(this.config);
    const both = conflictingItems(base, current, this.config);
    if (both.length > 0 || this.options.merge !== true) {
      return err({ type: 'conflict', current: version, both, theirs });
    }
    const merged = mergeConfigs(base, current, this.config);
    const faults = findConfigFaults(merged);
    return faults.length === 0 ? ok(merged) : err({ type: 'invalid', faults });
  }

  private async currentConfig(
    accepted: AcceptedRoot | undefined,
  ): Promise<Result<RoutingConfig, ApplyError>> {
    if (accepted === undefined) return ok(EMPTY_CONFIG);
    return readManifestConfig(this.context.store, accepted.root.manifest);
  }

  private async baseConfig(
    accepted: AcceptedRoot | undefined,
    current: RoutingConfig,
  ): Promise<Result<RoutingConfig, ApplyError>> {
    const { base } = this.options;
    switch (base.type) {
      case 'none':
        return ok(EMPTY_CONFIG);
      case 'config':
        return ok(base.config);
      case 'version': {
        if (base.version === (accepted?.version ?? 0)) return ok(current);
        const entry = accepted?.root.history.find(({ version }) => version === base.version);
        if (entry !== undefined)
          return readArchivedConfig(this.context.store, entry.manifestDigest);
        const version = accepted?.version ?? 0;
        return err({ type: 'base_unknown', base: base.version, current: version });
      }
      default:
        return base satisfies never;
    }
  }

  /** Writes the parts before the root, so that every part a published root names exists. */
  private async write(plan: ApplyPlan, previous: AcceptedRoot | undefined): Promise<Attempt> {
    const chunked = chunkConfig(plan.config, previous?.root.manifest.buckets);
    const oversized = chunked.chunks.find((chunk) => chunk.bytes > MAX_PART_BYTES);
    if (oversized !== undefined) {
      return done(err({ type: 'part_too_large', part: oversized.name, bytes: oversized.bytes }));
    }
    const parts = await this.writeParts(chunked, previous);
    if (parts.isErr()) return this.handleWriteError(parts.error);
    const root = this.buildRoot(chunked, previous);
    const expected = previous?.version ?? 'absent';
    const put = await this.context.store.put(CONFIG_KIND, ROOT_NAME, root, expected);
    if (put.isErr()) return this.handleRootWriteError(put.error);
    await deleteUnusedBlobs(this.context, { version: put.value.version, root });
    const { version } = put.value;
    return done(ok({ version, outcome: 'applied', inForce: version, changes: plan.changes }));
  }

  private async writeParts(
    chunked: ChunkedConfig,
    previous: AcceptedRoot | undefined,
  ): Promise<Result<void, PlatformError>> {
    const inForce = new Set(previous?.root.manifest.parts.map((part) => part.digest));
    const text = serializeManifest(chunked.manifest);
    const blobs = [
      ...chunked.chunks
        .filter((chunk) => !inForce.has(chunk.digest))
        .map((chunk) => ({ kind: CHUNK_KIND, digest: chunk.digest, text: chunk.text })),
      { kind: MANIFEST_KIND, digest: sha256Hex(text), text },
    ];
    let result: Result<void, PlatformError> = ok(undefined);
    let next = 0;
    while (result.isOk() && next < blobs.length) {
      const blob = blobs[next]!;
      result = await this.writer.write(blob.kind, blob.digest, blob.text, BLOB_REUSE_MS);
      next += 1;
    }
    return result;
  }

  private buildRoot(chunked: ChunkedConfig, previous: AcceptedRoot | undefined): ConfigRoot {
    const history =
      previous === undefined
        ? []
        : [
            {
              version: previous.version,
              changeId: previous.root.changeId,
              requestDigest: previous.root.requestDigest,
              manifestDigest: sha256Hex(serializeManifest(previous.root.manifest)),
            },
            ...previous.root.history,
          ];
    return {
      format: 1,
      changeId: this.options.changeId,
      requestDigest: this.requestDigest,
      manifest: chunked.manifest,
      history: history.slice(0, MAX_HISTORY),
    };
  }

  /** After a lost response the next attempt finds this change in the root or writes again. */
  private handleRootWriteError(error: PlatformError): Attempt {
    if (error.type === 'unavailable') this.isRootWriteUnconfirmed = true;
    if (error.type === 'conflict') return RETRY_ATTEMPT;
    return this.handleWriteError(error);
  }

  private handleWriteError(error: PlatformError): Attempt {
    switch (error.type) {
      case 'invalid':
        return done(err({ type: 'refused', message: error.message }));
      case 'unavailable':
        this.lastErrorMessage = error.message;
        return RETRY_ATTEMPT;
      case 'over_budget':
      case 'conflict':
        this.lastErrorMessage =
          'the platform rate-limits calls, or other writers keep changing the same object';
        return RETRY_ATTEMPT;
      default:
        return error satisfies never;
    }
  }

  private handleApplyError(error: ApplyError): Attempt {
    if (error.type !== 'unavailable') return done(err(error));
    this.lastErrorMessage = error.message;
    return RETRY_ATTEMPT;
  }
}

/**
 * Applies a configuration, with retries while the platform is unavailable.
 *
 * @param context - The object store, the clock and the source of retry jitter.
 * @param config - The complete desired configuration.
 * @param options - The id and base of the change, and whether to merge.
 * @returns The accepted version, or why the configuration was not accepted.
 */
export function applyConfig(
  context: ApplyContext,
  config: RoutingConfig,
  options: ApplyOptions,
): Promise<ApplyOutcome> {
  return new ConfigApply(context, config, options).run();
}
