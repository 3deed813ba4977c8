import { randomBytes, randomInt } from 'node:crypto';
import { readFileSync } from 'node:fs';
import { RandomSource, SystemClock } from '@camphorvane/core';
import type { CommandResult, NamedText } from '@camphorvane/operator';
import { EXIT, applyCommand, checkCommand, diffCommand } from '@camphorvane/operator';
import { HttpObjectStore } from '@camphorvane/store';
import type { CommandModule } from 'yargs';
import { JSON_OPTION, PLATFORM_OPTION } from './options.ts';
import { printResult } from './printResult.ts';

const CHANGE_ID_BYTES = 12;

const LARGEST_SEED = 2 ** 31;

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
  describe: 'Declarations, a TOML file',
} as const;

/** `check`: checks declarations without the platform. */
export const checkModule: CommandModule<object, FileArgs> = {
  command: 'check <file>',
  describe: 'Check declarations without the platform',
  builder: (y) =>
    y
      .positional('file', FILE)
      .options(JSON_OPTION)
      .example('$0 check teams.toml', 'List every fault with its line or key'),
  handler: (args) => printResult(withFile(args.file, checkCommand), args.json),
};

/** `diff`: compares declarations with what is in force. */
export const diffModule: CommandModule<object, PlatformArgs> = {
  command: 'diff <file>',
  describe: 'Compare declarations with the configuration in force; exit code 1 if they differ',
  builder: (y) =>
    y
      .positional('file', FILE)
      .options({ ...PLATFORM_OPTION, ...JSON_OPTION })
      .example('$0 diff teams.toml --platform http://127.0.0.1:9000', 'List what would change'),
  handler: async (args) => {
    const store = storeOf(args.platform);
    const result = await withFileAsync(args.file, (text) => diffCommand(store, text));
    printResult(result, args.json);
  },
};

/** `apply`: has declarations accepted. */
export const applyModule: CommandModule<object, ApplyArgs> = {
  command: 'apply <file>',
  describe: 'Have declarations accepted as the configuration of all hosts',
  builder: (y) =>
    y
      .positional('file', FILE)
      .options({ ...PLATFORM_OPTION, ...JSON_OPTION })
      .option('base-version', {
        type: 'number',
        describe: 'Version that the change starts from; 0 for the first configuration',
      })
      .option('base-file', {
        type: 'string',
        describe: 'The declarations before the change, a file',
      })
      .option('merge', {
        type: 'boolean',
        default: false,
        describe: 'Keep what others changed meanwhile, where both did not change the same',
      })
      .option('change-id', {
        type: 'string',
        describe: 'Name of an earlier apply whose outcome stayed open; never applied twice',
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

async function apply(args: ApplyArgs, declarations: NamedText): Promise<CommandResult> {
  const base = args['base-file'] === undefined ? undefined : readNamed(args['base-file']);
  if (base === 'unreadable') return unreadable(args['base-file'] ?? '');
  const context = {
    store: storeOf(args.platform),
    clock: new SystemClock(),
    random: new RandomSource(randomInt(LARGEST_SEED)),
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

function storeOf(baseUrl: string): HttpObjectStore {
  return new HttpObjectStore({ baseUrl, clock: new SystemClock() });
}

function withFile(file: string, run: (text: NamedText) => CommandResult): CommandResult {
  const named = readNamed(file);
  return named === 'unreadable' ? unreadable(file) : run(named);
}

async function withFileAsync(
  file: string,
  run: (text: NamedText) => Promise<CommandResult>,
): Promise<CommandResult> {
  const named = readNamed(file);
  return named === 'unreadable' ? unreadable(file) : run(named);
}

function readNamed(file: string): NamedText | 'unreadable' {
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
