import { SystemClock } from '@camphorvane/core';
import { EXIT } from '@camphorvane/operator';
import type { CommandModule } from 'yargs';
import { startHost } from '../host/RunningHost.ts';
import { BoundedLog } from '../observe/BoundedLog.ts';
import { setLogOutput, stateLog } from '../observe/StateLog.ts';
import { stdoutSink } from '../observe/stdoutSink.ts';
import { describeSettingsError, readHostSettings } from '../settings/HostSettings.ts';

const log = stateLog('serve');

interface ServeArgs {
  readonly settings: string;
}

/** `serve`: runs a host until a signal ends it. */
export const serveCommand: CommandModule<object, ServeArgs> = {
  command: 'serve',
  describe: 'Run a host until SIGTERM (drains) or a second signal (stops at once)',
  builder: (y) =>
    y
      .option('settings', {
        type: 'string',
        demandOption: true,
        describe: 'Settings of this host, a TOML file',
      })
      .example('$0 serve --settings host.toml', 'Run the host that host.toml describes'),
  handler: (args) => serve(args.settings),
};

async function serve(file: string): Promise<void> {
  setLogOutput(new BoundedLog(new SystemClock(), stdoutSink()));
  const settings = readHostSettings(file);
  if (settings.isErr()) {
    settings.error.forEach((error) => process.stderr.write(`${describeSettingsError(error)}\n`));
    process.exitCode = EXIT.invalid;
    return;
  }
  const started = await startHost(settings.value);
  if (started.isErr()) {
    process.stderr.write(`${file}: ${started.error}\n`);
    process.exitCode = EXIT.invalid;
    return;
  }
  const running = started.value;
  const { callers } = settings.value;
  process.stdout.write(
    `${settings.value.host.id} serves callers on ${callers.ip}:${callers.port}\n`,
  );
  await Promise.race([signalled(), running.drainAsked]);
  log('draining', { host: settings.value.host.id });
  const second = signalled().then(() => running.stop());
  await Promise.race([running.drain(), second]);
  process.exit(EXIT.ok);
}

/** Waits for SIGTERM or SIGINT. */
function signalled(): Promise<void> {
  return new Promise((resolve) => {
    const done = (): void => {
      process.off('SIGTERM', done);
      process.off('SIGINT', done);
      resolve();
    };
    process.on('SIGTERM', done);
    process.on('SIGINT', done);
  });
}
