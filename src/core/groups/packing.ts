/**
 * Packs expert maps and counts for the wire. At 63 ranks a map as JSON numbers is 9 KB and the counts of one
 * look 10 KB a rank, which a coordinator's link of 5.6 Mbit/s does not carry; packed they are 3.4 and 2.7 KB.
 */
import type { PackedCounts, PackedMap } from '../../generated/messages.types.js';
import type { ExpertMap } from './types.js';

/** Largest number of a byte. */
const BYTE_MAX = 255;

/**
 * Packs a map. Numbers take two bytes as soon as one of them needs more than one.
 * @example packMap({ id: 'm1', layers: [[[0, 2], [1]]] }).layers // ['AgACAQE=']
 */
export function packMap(map: ExpertMap): PackedMap {
  const flat = map.layers.map((layer) => layer.flatMap((rank) => [rank.length, ...rank]));
  const width = flat.some((numbers) => numbers.some((n) => n > BYTE_MAX)) ? 2 : 1;
  const layers = flat.map((numbers) => {
    const bytes = Buffer.alloc(numbers.length * width);
    numbers.forEach((n, i) => bytes.writeUIntLE(n, i * width, width));
    return bytes.toString('base64');
  });
  return { id: map.id, width, layers };
}

/**
 * Unpacks a map; undefined when it was cut short or altered on its way.
 * @example unpackMap(packMap(map)) // equals map
 */
export function unpackMap(packed: PackedMap): ExpertMap | undefined {
  const layers = packed.layers.map((text) => unpackLayer(text, packed.width));
  if (!layers.every((layer) => layer !== undefined)) return undefined;
  return { id: packed.id, layers };
}

function unpackLayer(text: string, width: number): number[][] | undefined {
  const bytes = Buffer.from(text, 'base64');
  const numbers = Array.from({ length: Math.floor(bytes.length / width) }, (_, i) =>
    bytes.readUIntLE(i * width, width),
  );
  const ranks: number[][] = [];
  for (let at = 0; at < numbers.length;) {
    const count = numbers[at] ?? 0;
    const held = numbers.slice(at + 1, at + 1 + count);
    if (held.length < count) return undefined;
    ranks.push(held);
    at += 1 + count;
  }
  return ranks;
}

/**
 * Packs counts to 255 steps of the largest: what tells experts apart stays, and noise goes.
 * @example packCounts([[510, 0]]) // { unit: 2, layers: ['/wA='] }
 */
export function packCounts(counts: readonly (readonly number[])[]): PackedCounts {
  const largest = counts.reduce((most, layer) => Math.max(most, ...layer), 0);
  const unit = largest / BYTE_MAX;
  const step = (count: number): number => (unit > 0 ? Math.round(count / unit) : 0);
  return { unit, layers: counts.map((layer) => Buffer.from(layer.map(step)).toString('base64')) };
}

/**
 * Unpacks counts, by layer and expert.
 * @example unpackCounts({ unit: 2, layers: ['/wA='] }) // [[510, 0]]
 */
export function unpackCounts(packed: PackedCounts): number[][] {
  return packed.layers.map((text) =>
    Array.from(Buffer.from(text, 'base64'), (step) => step * packed.unit),
  );
}
