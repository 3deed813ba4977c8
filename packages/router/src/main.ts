import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { EXIT } from './cli/exitCodes.ts';
import { hostsCommand } from './cli/hostsCommand.ts';
import { serveCommand } from './cli/serveCommand.ts';
import { VERSION } from './version.ts';

void yargs(hideBin(process.argv))
  .scriptName('camphorvane')
  .usage('$0 <command>: a router for separate prefill and decode pools')
  .command(serveCommand)
  .command(hostsCommand)
  .version(VERSION)
  .demandCommand(1, 'Name a command.')
  .strict()
  .fail((message, err, y) => {
    if (err !== undefined && err !== null) throw err;
    process.stderr.write(`${message}\n\n`);
    y.showHelp('error');
    process.exit(EXIT.usage);
  })
  .parse();
