import type { CoordinationFactory } from './HostCoordination.ts';
import { StoreCoordination } from './StoreCoordination.ts';
import type { StoreCoordinationOptions } from './StoreCoordinationOptions.ts';

/**
 * Gets the factory of a {@link StoreCoordination}.
 *
 * @param options - The store and the limits of the whole fleet.
 * @param onCreated - Called with the new instance, whose readiness the listeners report.
 * @returns The factory.
 */
export function storeCoordinationFactory(
  options: StoreCoordinationOptions,
  onCreated: (coordination: StoreCoordination) => void,
): CoordinationFactory {
  return (context) => {
    const coordination = new StoreCoordination(options, context);
    onCreated(coordination);
    return coordination;
  };
}
