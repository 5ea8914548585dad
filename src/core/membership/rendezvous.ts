/** Rendezvous (highest random weight) hashing: every reader of the same list computes the same order. */
import { hash } from 'node:crypto';

/**
 * Returns the weight of a node for a key, 52 bits.
 * @example rendezvousWeight('key', 'a') > rendezvousWeight('key', 'b')
 */
export function rendezvousWeight(key: string, node: string): number {
  return Number.parseInt(hash('sha1', `${key}\n${node}`, 'hex').slice(0, 13), 16);
}

/**
 * Sorts items by descending weight for a key; equal weights, which do not occur in practice, are
 * sorted by name.
 * @example rendezvousOrder('key', ['a', 'b', 'c'], (n) => n)[0] // the key's owner
 */
export function rendezvousOrder<T>(
  key: string,
  items: readonly T[],
  nameOf: (item: T) => string,
): T[] {
  const weighted = items.map((item) => ({ item, weight: rendezvousWeight(key, nameOf(item)) }));
  weighted.sort((a, b) => b.weight - a.weight || (nameOf(a.item) < nameOf(b.item) ? -1 : 1));
  return weighted.map(({ item }) => item);
}
