/** What differs between the hosts of the demo. */
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
 * Gets the settings file of one host.
 *
 * @param host - Its name, zone, ports and credential.
 * @returns TOML.
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
