import { sha256Hex } from '@camphorvane/core';
import type { DemoAddresses } from './DemoFleet.ts';

/** A team of the demo with the key that its callers show. */
export interface DemoTeam {
  readonly id: string;
  readonly key: string;
  readonly tokensPerSecond: number;
  readonly burstTokens: number;
}

function teamTable(team: DemoTeam): string {
  return `[[teams]]
id = "${team.id}"
tokens_per_second = ${team.tokensPerSecond}
burst_tokens = ${team.burstTokens}
key_digests = ["${sha256Hex(team.key)}"]
`;
}

function engineTable(id: string, url: string, role: string, zone: number): string {
  return `[[pools.engines]]
id = "${id}"
url = "${url}"
zone = "zone-${zone}"
role = "${role}"
memory_pieces = 40
checks_fencing = true
`;
}

/**
 * Gets the declarations of the demo.
 *
 * @param at - Where the stand-ins listen.
 * @param teams - The teams.
 * @returns TOML, as an operator keeps it under version control.
 */
export function demoDeclarations(at: DemoAddresses, teams: readonly DemoTeam[]): string {
  const engines = [
    ...at.prefill.map((url, index) => engineTable(`p${index + 1}`, url, 'prefill', index + 1)),
    ...at.decode.map((url, index) => engineTable(`d${index + 1}`, url, 'decode', index + 1)),
  ];
  return `${teams.map(teamTable).join('\n')}
[[pools]]
model = "reports"
max_tokens = 8192
ttft_target_ms = 730
itl_target_ms = 35
link_pieces_per_second = 60

${engines.join('\n')}
[[services]]
id = "certificates"
timeout_ms = 5000

[[services.servers]]
id = "certificates-1"
url = "${at.certificates}"
zone = "zone-1"
max_concurrent = 8

[[services.routes]]
method = "GET"
path = "/lookup"
idempotent = true
class = "lookup"
cost_tokens = 10

[[services.routes]]
method = "POST"
path = "/issue"
idempotent = false
class = "certificate"
cost_tokens = 10

[[wait_rules]]
class = "summary"
max_wait_ms = 60000
`;
}
