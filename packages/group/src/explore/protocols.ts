import type { ExplorableProtocol } from './ExplorableProtocol.ts';
import { EXPLORABLE_MEMBERSHIP } from './membership/index.ts';

/** Every protocol that `npm run explore` knows. */
export const PROTOCOLS: readonly ExplorableProtocol[] = [EXPLORABLE_MEMBERSHIP];
