import { randomBytes, randomInt } from 'node:crypto';
import { readFileSync } from 'node:fs';
import { RandomSource, SystemClock } from '@camphorvane/core';
import type { CommandResult, DeclarationsFile } from '@camphorvane/operator';
import { EXIT, applyCommand, checkCommand, diffCommand } from '@camphorvane/operator';
import { HttpObjectStore } from '@camphorvane/store';
import type { CommandModule } from 'yargs';
import { JSON_OPTION, PLATFORM_OPTION } from './options.ts';
import { printResult } from './printResult.ts';

const CHANGE_ID_BYTES = 12;

const SEED_LIMIT = 2 ** 31;

interface FileArgs {
  readonly file: string;
  readonly json: boolean;
}

interface PlatformArgs extends FileArgs {
  readonly platform: string;
}

interface ApplyArgs extends PlatformArgs {
  readonly 'base-version': number | undefined;
  readonly 'base-file': string | undefined;
  readonly merge: boolean;
  readonly 'change-id': string | undefined;
}

const FILE = {
  type: 'string',
  demandOption: true,
  describe: 'TOML file with declarations',
} as const;

/** `check`: validates declarations without access to the platform. */
export const checkModule: CommandModule<object, FileArgs> = {
  command: 'check <file>',
  describe: 'Validate declarations without access to the platform',
  builder: (y) =>
    y
      .positional('file', FILE)
      .options(JSON_OPTION)
      .example('$0 check teams.toml', 'List all errors with their lines or keys'),
  handler: (args) => printResult(withFile(args.file, checkCommand), args.json),
};

/** `diff`: compares declarations with the configuration in force. */
export const diffModule: CommandModule<object, PlatformArgs> = {
  command: 'diff <file>',
  describe: 'Compare declarations with the configuration in force; exit code 1 if they differ',
  builder: (y) =>
    y
      .positional('file', FILE)
      .options({ ...PLATFORM_OPTION, ...JSON_OPTION })
      .example(
        '$0 diff teams.toml --platform http://127.0.0.1:9000',
        'List the changes that apply would make',
      ),
  handler: async (args) => {
    const store = createStore(args.platform);
    const result = await withFileAsync(args.file, (text) => diffCommand(store, text));
    printResult(result, args.json);
  },
};

/** `apply`: makes declarations the configuration of all hosts. */
export const applyModule: CommandModule<object, ApplyArgs> = {
  command: 'apply <file>',
  describe: 'Apply declarations as the configuration of all hosts',
  builder: (y) =>
    y
      .positional('file', FILE)
      .options({ ...PLATFORM_OPTION, ...JSON_OPTION })
      .option('base-version', {
        type: 'number',
        describe: 'Version on which the change is based; 0 for the first configuration',
      })
      .option('base-file', {
        type: 'string',
        describe: 'TOML file with the declarations before the change',
      })
      .option('merge', {
        type: 'boolean',
        default: false,
        describe: 'Merge with concurrent changes that do not conflict',
      })
      .option('change-id', {
        type: 'string',
        describe:
          'Change id of an earlier apply with an unknown outcome, which is retried but never applied twice',
      })
      .conflicts('base-file', 'base-version')
      .example('$0 apply teams.toml --base-version 0', 'Apply the first configuration')
      .example(
        '$0 apply new.toml --base-file old.toml --merge',
        'Apply the changes from old to new',
      ),
  handler: async (args) => {
    const result = await withFileAsync(args.file, (text) => apply(args, text));
    printResult(result, args.json);
  },
};

async function apply(args: ApplyArgs, declarations: DeclarationsFile): Promise<CommandResult> {
  const base = args['base-file'] === undefined ? undefined : readNamedText(args['base-file']);
  if (base === 'unreadable') return unreadable(args['base-file'] ?? '');
  const context = {
    store: createStore(args.platform),
    clock: new SystemClock(),
    random: new RandomSource(randomInt(SEED_LIMIT)),
  };
  return applyCommand(context, {
    declarations,
    baseVersion: args['base-version'],
    baseDeclarations: base,
    merge: args.merge,
    changeId: args['change-id'],
    freshId: randomBytes(CHANGE_ID_BYTES).toString('base64url'),
  });
}

function createStore(baseUrl: string): HttpObjectStore {
  return new HttpObjectStore({ baseUrl, clock: new SystemClock() });
}

function withFile(file: string, run: (text: DeclarationsFile) => CommandResult): CommandResult {
  const namedText = readNamedText(file);
  return namedText === 'unreadable' ? unreadable(file) : run(namedText);
}

async function withFileAsync(
  file: string,
  run: (text: DeclarationsFile) => Promise<CommandResult>,
): Promise<CommandResult> {
  const namedText = readNamedText(file);
  return namedText === 'unreadable' ? unreadable(file) : run(namedText);
}

function readNamedText(file: string): DeclarationsFile | 'unreadable' {
  try {
    return { file, text: readFileSync(file, 'utf8') };
  } catch {
    return 'unreadable';
  }
}

function unreadable(file: string): CommandResult {
  const text = `${file}: cannot be read`;
  return { exitCode: EXIT.invalid, text, json: { ok: false, error: text } };
}
