import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { VERSION } from './version.ts';

void yargs(hideBin(process.argv)).scriptName('camphorvane').version(VERSION).parse();
