import type { ExplorableProtocol } from './ExplorableProtocol.ts';
import { EXPLORABLE_MEMBERSHIP } from './membership/index.ts';
import { EXPLORABLE_SHARES } from './shares/index.ts';

/** The protocols that `npm run explore` can check. */
export const PROTOCOLS: readonly ExplorableProtocol[] = [EXPLORABLE_MEMBERSHIP, EXPLORABLE_SHARES];
