import path from 'node:path';
import { type Workload, loadWorkload } from '@camphorvane/bench';

const DIR = path.join(import.meta.dirname, '..', '..');

/** The regression bounds that are checked in. */
export const BOUNDS_FILE = path.join(DIR, 'bounds.toml');

/** Gets a shipped workload by name. */
export function shipped(name: string): Workload {
  return loadWorkload(path.join(DIR, 'workloads', `${name}.toml`)).match(
    (workload) => workload,
    (error) => {
      throw new Error(`${error.file}: ${error.message}`);
    },
  );
}
