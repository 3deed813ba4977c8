import { EXIT } from '@camphorvane/operator/exit';

/** Oldest supported version of Node.js: parsers of older ones join header lines that begin with a blank. */
export const LEAST_NODE_VERSION = '20.18.0';

/**
 * Tells whether a version of Node.js is supported.
 *
 * @param version - The version, as in `process.versions.node`.
 * @returns True for {@link LEAST_NODE_VERSION} and newer ones.
 */
export function isSupportedRuntime(version: string): boolean {
  const [major = 0, minor = 0] = version.split('.').map(Number);
  const [leastMajor = 0, leastMinor = 0] = LEAST_NODE_VERSION.split('.').map(Number);
  return major > leastMajor || (major === leastMajor && minor >= leastMinor);
}

/** Ends the process with an error if the runtime is older than {@link LEAST_NODE_VERSION}. */
export function requireRuntime(): void {
  const { node } = process.versions;
  if (isSupportedRuntime(node)) return;
  process.stderr.write(
    `Node.js ${LEAST_NODE_VERSION} or newer is needed; this is Node.js ${node}.\n`,
  );
  process.exit(EXIT.invalid);
}
