/** Which entries a daemon hears from what is published. */
import { rendezvousOrder } from '../core/membership/rendezvous.js';
import type { RelayedParts } from '../core/published/index.js';
import type { InstanceSettings } from '../gateway/types.js';

/**
 * The relays that a daemon asks, the first to be asked first, and whether it is one of those that the settings name. Each
 * daemon has its own order, so that relays are asked alike, and what one of them served goes to the others alike when it is
 * gone.
 * @example new RelayedSource({ ...parts, ...relayPlace(settings) })
 */
export function relayPlace({
  instance,
  control,
  relays,
}: Pick<InstanceSettings, 'instance' | 'control' | 'relays'>): Pick<
  RelayedParts,
  'relays' | 'isRelay'
> & { readonly own: string | undefined } {
  const own = control && `${control.host}:${control.port}`;
  const others = relays.filter((relay) => relay !== own);
  return {
    own,
    relays: rendezvousOrder(instance, others, (relay) => relay),
    isRelay: others.length < relays.length,
  };
}
