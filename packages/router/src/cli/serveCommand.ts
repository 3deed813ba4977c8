import type { Millis } from '@camphorvane/core';
import { sleep, SystemClock } from '@camphorvane/core';
import { EXIT } from '@camphorvane/operator';
import type { CommandModule } from 'yargs';
import { startHost } from '../host/RunningHost.ts';
import { RateLimitedLog } from '../observe/RateLimitedLog.ts';
import { setLogOutput, eventLog } from '../observe/EventLog.ts';
import { stdoutSink } from '../observe/stdoutSink.ts';
import { describeSettingsError, readHostSettings } from '../settings/HostSettings.ts';
import { finishWithoutFault, waitForEnd } from './waitForEnd.ts';

const log = eventLog('serve');

/** Milliseconds beyond the grace period for leaving the group and closing the listeners. */
const DRAIN_MARGIN_MS: Millis = 10_000;

interface ServeArgs {
  readonly settings: string;
}

/** `serve`: runs a host until a signal or an operator ends it. */
export const serveCommand: CommandModule<object, ServeArgs> = {
  command: 'serve',
  describe: 'Run a host until SIGTERM or SIGINT, which drains it; further signals change nothing',
  builder: (y) =>
    y
      .option('settings', {
        type: 'string',
        demandOption: true,
        describe: 'TOML file with the settings of the host',
      })
      .example('$0 serve --settings host.toml', 'Run the host with the settings in host.toml'),
  handler: (args) => serve(args.settings),
};

async function serve(file: string): Promise<void> {
  const sink = stdoutSink();
  setLogOutput(new RateLimitedLog(new SystemClock(), sink));
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
  const reason = await waitForEnd(running.drainRequested);
  log('draining', { host: settings.value.host.id, reason });
  const { graceMs } = settings.value.drain;
  // A drain that a fault keeps from ending must not keep the process from being started again.
  const graceEnd = sleep(new SystemClock(), graceMs + DRAIN_MARGIN_MS).then(() => false);
  const drained = finishWithoutFault(running.drain().then(() => true));
  const isDrained = (await Promise.race([drained, graceEnd])) === true;
  await sink.flush();
  process.exit(isDrained && reason === 'asked' ? EXIT.ok : EXIT.failed);
}
