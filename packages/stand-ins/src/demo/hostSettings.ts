/** Settings of one host of the demo; `callers`, `peers` and `operators` are ports. */
export interface DemoHost {
  readonly id: string;
  readonly zone: string;
  readonly callers: number;
  readonly peers: number;
  readonly operators: number;
  readonly platformPort: number;
  readonly credential: string;
}

/**
 * Builds the settings file of one host.
 *
 * @param host - ID, zone, ports and credential of the host.
 * @returns Settings as TOML.
 */
export function hostSettings(host: DemoHost): string {
  return `[host]
id = "${host.id}"
zone = "${host.zone}"

[callers]
ip = "127.0.0.1"
port = ${host.callers}

[peers]
ip = "127.0.0.1"
port = ${host.peers}
credential = "${host.credential}"

[operators]
ip = "127.0.0.1"
port = ${host.operators}
credential = "${host.credential}"

[platform]
url = "http://127.0.0.1:${host.platformPort}"
`;
}
