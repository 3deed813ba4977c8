import type {
  GroupRunner,
  PeerRequest,
  PeerResponse,
  PeerSender,
  TeamRates,
} from '@camphorvane/peer';
import type { ConfigFollower } from '@camphorvane/platform';
import type { StewardDesk } from '../placing/StewardDesk.ts';
import type { ConfigRelay } from './ConfigRelay.ts';

/** The parts of a host that other hosts ask. */
export interface PeerParts {
  readonly runner: GroupRunner;
  readonly rates: TeamRates;
  readonly relay: ConfigRelay;
  readonly config: ConfigFollower;
  readonly desk: StewardDesk;
}

/**
 * Answers what another host asks, by the part that it concerns.
 *
 * @param parts - The parts of this host.
 * @param from - The sender, authenticated by the link.
 * @param req - What is asked.
 * @returns The answer.
 */
export async function answerPeer(
  parts: PeerParts,
  from: PeerSender,
  req: PeerRequest,
): Promise<PeerResponse> {
  switch (req.type) {
    case 'membership': {
      const message = parts.runner.answer(req.message);
      return message === undefined
        ? { type: 'not_steward', epoch: 0 }
        : { type: 'membership', message };
    }
    case 'share_sync':
      return parts.rates.answerSync(from, req.message);
    case 'share_nudge':
      return parts.rates.answerNudge(from, req.teams);
    case 'config_version':
    case 'config_root':
    case 'config_chunk':
      return parts.relay.answer(req, parts.config);
    case 'reserve':
    case 'withdraw':
    case 'renew':
    case 'prefill_ended':
    case 'release':
    case 'observe':
      return parts.desk.answer(req);
    default:
      return req satisfies never;
  }
}
