import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { runAfterOutage, type OutageReport } from './afterOutage.ts';
import { measureSize, type SizeReport } from './configSizes.ts';

const args = await yargs(hideBin(process.argv))
  .scriptName('bench:config')
  .usage('$0: what the configuration costs hosts and the platform')
  .example('$0 --hosts 8 --hosts 350', 'first ten seconds after an outage, for two fleets')
  .option('hosts', { type: 'number', array: true, default: [8, 50, 350], describe: 'fleet sizes' })
  .option('teams', { type: 'number', array: true, default: [100, 1000, 5000, 20_000] })
  .option('seed', { type: 'number', default: 1 })
  .option('outage-ms', { type: 'number', default: 120_000, describe: 'length of the outage' })
  .option('json', { type: 'boolean', default: false })
  .strict()
  .parse();

/** Parts are shared by the fleet in the run of the outage, so that its memory stays small. */
const OUTAGE_TEAMS = 200;

const print = (text: string): boolean => process.stdout.write(`${text}\n`);

const outageRow = (report: OutageReport): string =>
  [
    String(report.hosts).padStart(5),
    (report.isSpread ? 'spread' : 'lockstep').padEnd(8),
    String(report.peakPer100Ms).padStart(9),
    String(report.confirmedMs).padStart(9),
    String(report.inForceMs).padStart(8),
    ` ${report.callsPerSecond.join(' ')}`,
  ].join(' ');

const sizeRow = (report: SizeReport): string =>
  [
    report.teams,
    report.parts,
    report.configBytes,
    report.rootBytes,
    report.changeBytes,
    report.loadMs.toFixed(0),
    report.loadCpuMs.toFixed(0),
    report.changeMs.toFixed(0),
    report.heapBytes,
  ]
    .map((figure) => String(figure).padStart(9))
    .join(' ');

const outages = await args.hosts
  .flatMap((hosts) => [true, false].map((isSpread) => ({ hosts, isSpread })))
  .reduce<Promise<readonly OutageReport[]>>(async (before, fleet) => {
    const { seed, outageMs } = args;
    const done = await before;
    return [...done, await runAfterOutage({ ...fleet, seed, outageMs, teams: OUTAGE_TEAMS })];
  }, Promise.resolve([]));

const sizes = await args.teams.reduce<Promise<readonly SizeReport[]>>(async (before, teams) => {
  const done = await before;
  return [...done, await measureSize(teams)];
}, Promise.resolve([]));

if (args.json) {
  print(JSON.stringify({ outages, sizes }, null, 2));
} else {
  print('first ten seconds after an outage (virtual time)');
  print('hosts waits    peak/0.1s confirm/ms inforce/ms calls in each second');
  outages.forEach((report) => print(outageRow(report)));
  print('\na follower over HTTP on loopback (real time)');
  print(
    '    teams     parts  config/B    root/B  change/B   load/ms    cpu/ms change/ms    heap/B',
  );
  sizes.forEach((report) => print(sizeRow(report)));
}
