/** Which entries a daemon hears from what is published. */
import { rendezvousOrder } from '../core/membership/rendezvous.js';
import type { InstanceSettings, ListenAddress } from '../gateway/types.js';

/**
 * An address as the settings write it.
 * @example addressOf({ host: '10.1.0.40', port: 8229 }) // '10.1.0.40:8229'
 */
export function addressOf({ host, port }: ListenAddress): string {
  return `${host}:${port}`;
}

/**
 * The relays to ask, besides the own address, the first to be asked first: each daemon has its own order, so that they are
 * asked alike, and what one of them served goes to the others alike when it is gone.
 * @example relaysFor(settings, '10.1.0.40:8229')
 */
export function relaysFor(
  { instance, relays }: Pick<InstanceSettings, 'instance' | 'relays'>,
  own: string | undefined,
): string[] {
  const others = relays.filter((relay) => relay !== own);
  return rendezvousOrder(instance, others, (relay) => relay);
}
