import type { CommandModule } from 'yargs';
import { servePlatform } from './servePlatformCommand.ts';

interface ServePlatformArgs {
  readonly settings?: string;
}

/** `serve-platform`: runs a host on the users' platform until a signal ends it. */
export const servePlatformModule: CommandModule<object, ServePlatformArgs> = {
  command: 'serve-platform',
  describe: "Run a host on the users' platform until SIGTERM or SIGINT, which drains it",
  builder: (y) =>
    y.option('settings', {
      type: 'string',
      describe: "The platform's settings file; by default the path in its environment variable",
    }),
  handler: (args) => servePlatform(args.settings),
};
