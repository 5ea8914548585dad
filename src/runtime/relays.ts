/** Selects the relays from which a daemon receives the published state. */
import { rendezvousOrder } from '../core/membership/rendezvous.js';
import type { RelayedSourceDeps } from '../core/published/index.js';
import type { InstanceSettings } from '../gateway/types.js';

/**
 * The relays of a daemon in order of preference, its own control address, and whether it is itself
 * one of the relays in the settings. Rendezvous hashing gives each daemon its own order, so that
 * load is even across relays, and a failed relay's load spreads evenly over the others.
 * @example new RelayedSource({ ...deps, ...orderRelays(settings) })
 */
export function orderRelays({
  instance,
  control,
  relays,
}: Pick<InstanceSettings, 'instance' | 'control' | 'relays'>): Pick<
  RelayedSourceDeps,
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
