import type { OriginAnswer, OriginLink } from '@camphorvane/peer/origins';

/** A link to peers that give one answer to each question. */
export function linkTo(answer: OriginAnswer | undefined): OriginLink {
  return {
    tell: () => undefined,
    onTold: () => undefined,
    setSource: () => undefined,
    ask: async () => answer,
  };
}
