import { EXIT } from '@camphorvane/operator';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { applyModule, checkModule, diffModule } from './cli/declarationCommands.ts';
import { explainCommand } from './cli/explainCommand.ts';
import { lossesCommand } from './cli/lossesCommand.ts';
import { hostsCommand } from './cli/hostsCommand.ts';
import { drainModule, dumpModule, keyModule, statusModule } from './cli/operatorCommands.ts';
import { requireRuntime } from './cli/requireRuntime.ts';
import { serveCommand } from './cli/serveCommand.ts';
import { servePlatformModule } from './cli/servePlatformModule.ts';
import { drainZoneModule, restoreZoneModule } from './cli/zoneCommands.ts';
import { VERSION } from './version.ts';

requireRuntime();
yargs(hideBin(process.argv))
  .scriptName('camphorvane')
  .usage('$0 <command>: a router for separate prefill and decode pools')
  .command(serveCommand)
  .command(servePlatformModule)
  .command(checkModule)
  .command(diffModule)
  .command(applyModule)
  .command(statusModule)
  .command(dumpModule)
  .command(drainModule)
  .command(drainZoneModule)
  .command(restoreZoneModule)
  .command(hostsCommand)
  .command(explainCommand)
  .command(lossesCommand)
  .command(keyModule)
  .version(VERSION)
  .demandCommand(1, 'Specify a command.')
  .strict()
  .recommendCommands()
  .fail((message, err, y) => {
    if (err !== undefined && err !== null) throw err;
    process.stderr.write(`${message}\n\n`);
    y.showHelp('error');
    process.exit(EXIT.invalid);
  })
  .parseAsync()
  // A failed command ends the process, like any rejection that nothing handles.
  .catch((thrown: unknown) => {
    throw thrown;
  });
