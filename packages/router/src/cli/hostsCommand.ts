import { EXIT } from '@camphorvane/operator';
import { request } from 'undici';
import type { CommandModule } from 'yargs';
import { JSON_OPTION } from './options.ts';

interface HostsArgs {
  readonly address: string;
  readonly key: string;
  readonly json: boolean;
}

interface HostListResponse {
  readonly hosts: readonly {
    readonly host: string;
    readonly zone: string;
    readonly address: string;
  }[];
  readonly keep_for_ms: number;
}

/** `hosts`: prints the hosts that callers with a key should use. */
export const hostsCommand: CommandModule<object, HostsArgs> = {
  command: 'hosts <address>',
  describe: 'Print the hosts that callers with a key should use',
  builder: (y) =>
    y
      .positional('address', {
        type: 'string',
        demandOption: true,
        describe: 'ip:port of any host',
      })
      .option('key', {
        type: 'string',
        demandOption: true,
        default: process.env.CAMPHORVANE_KEY,
        defaultDescription: 'the environment variable CAMPHORVANE_KEY',
        describe: 'API key of a team',
      })
      .options(JSON_OPTION)
      .example('$0 hosts 127.0.0.1:8801', 'List the hosts for the key in CAMPHORVANE_KEY'),
  handler: (args) => hosts(args),
};

async function hosts(args: HostsArgs): Promise<void> {
  try {
    const res = await request(`http://${args.address}/v1/hosts`, {
      headers: { authorization: `Bearer ${args.key}` },
    });
    const text = await res.body.text();
    if (res.statusCode !== 200) {
      process.stderr.write(`${text}\n`);
      process.exitCode = EXIT.refused;
      return;
    }
    process.stdout.write(
      args.json ? `${text}\n` : formatTable(JSON.parse(text) as HostListResponse),
    );
  } catch (thrown) {
    process.stderr.write(`${args.address}: ${thrown instanceof Error ? thrown.message : ''}\n`);
    process.exitCode = EXIT.unavailable;
  }
}

function formatTable(advice: HostListResponse): string {
  const rows = advice.hosts.map((host) => `${host.address}\t${host.zone}\t${host.host}\n`);
  return `${rows.join('')}keep for ${advice.keep_for_ms} ms\n`;
}
