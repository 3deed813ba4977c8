import { SystemClock } from '@camphorvane/core';
import { request } from 'undici';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { EngineCore } from './engine/EngineCore.ts';
import { engineRoutes } from './engine/engineRoutes.ts';
import { engineSettings } from './engine/EngineSettings.ts';
import type { KvCache } from './engine/KvStore.ts';
import { serveApp } from './http/serveApp.ts';
import { MemoryObjectStore } from './platform/MemoryObjectStore.ts';
import { storeRoutes } from './platform/storeRoutes.ts';
import { ServiceCore, serviceSettings } from './service/ServiceCore.ts';
import { serviceRoutes } from './service/serviceRoutes.ts';

/** Fetches a KV cache from another stand-in engine; undefined if that fails. */
async function fetchKv(sourceUrl: string, handle: string): Promise<KvCache | undefined> {
  try {
    const url = `${sourceUrl}/v1/kv/${encodeURIComponent(handle)}`;
    const res = await request(url);
    if (res.statusCode === 200) return (await res.body.json()) as KvCache;
    await res.body.dump();
    return undefined;
  } catch {
    return undefined;
  }
}

function printListening(name: string, port: number): void {
  process.stdout.write(`${name} listens on 127.0.0.1:${port}\n`);
}

const clock = new SystemClock();

await yargs(hideBin(process.argv))
  .scriptName('stand-ins')
  .option('port', { type: 'number', default: 0, describe: 'Port on loopback; 0 takes a free one' })
  .command('platform', 'Runs a stand-in platform', {}, async (args) => {
    const app = await serveApp(storeRoutes(new MemoryObjectStore(clock)), Number(args.port));
    printListening('platform', app.port);
  })
  .command(
    'engine',
    'Runs a stand-in engine',
    (y) =>
      y
        .option('id', { type: 'string', demandOption: true })
        .option('role', { choices: ['prefill', 'decode'] as const, demandOption: true })
        .option('memory-pieces', { type: 'number', default: 40 })
        .option('ignores-fencing', { type: 'boolean', default: false }),
    async (args) => {
      const settings = engineSettings({
        id: args.id,
        role: args.role,
        memoryPieces: args.memoryPieces,
        checksFencing: !args.ignoresFencing,
      });
      const core = new EngineCore(settings, clock, fetchKv);
      const app = await serveApp(engineRoutes(core), args.port);
      printListening(args.id, app.port);
    },
  )
  .command(
    'service',
    'Runs a stand-in of a plain service',
    (y) =>
      y
        .option('id', { type: 'string', demandOption: true })
        .option('delay-ms', { type: 'number', default: 20 }),
    async (args) => {
      const core = new ServiceCore(serviceSettings({ id: args.id, delayMs: args.delayMs }), clock);
      const app = await serveApp(serviceRoutes(core), args.port);
      printListening(args.id, app.port);
    },
  )
  .demandCommand(1, 'Specify a stand-in: platform, engine or service')
  .strict()
  .help()
  .parseAsync();
