/**
 * Packs expert maps and counts for the wire. At 129 ranks, 16 layers and 3 experts a map as JSON numbers is 31 KB and the
 * counts of one look 20 KB a rank, which a coordinator's link of 4.2 Mbit/s does not carry; packed they are 12 and 5.5 KB,
 * and the change of a map 6 KB or less.
 */
import { createHash } from 'node:crypto';
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import type { MapChange, PackedCounts, PackedMap } from '../../generated/messages.types.js';
import type { ExpertMap } from './types.js';

/** Largest number of a byte. */
const BYTE_MAX = 255;
/** Bytes of a number of a map. */
const NUMBER_BYTES = 2;

function bytesOf(numbers: readonly number[]): Buffer {
  const bytes = Buffer.alloc(numbers.length * NUMBER_BYTES);
  numbers.forEach((n, i) => bytes.writeUInt16LE(n, i * NUMBER_BYTES));
  return bytes;
}

function numbersOf(bytes: Buffer): number[] {
  const count = Math.floor(bytes.length / NUMBER_BYTES);
  return Array.from({ length: count }, (_, i) => bytes.readUInt16LE(i * NUMBER_BYTES));
}

/**
 * Packs a map.
 * @example packMap({ id: 'm1', layers: [[[0, 2], [1]]] }).numbers
 */
export function packMap({ id, layers }: ExpertMap): PackedMap {
  const flat = layers.flatMap((layer) => [
    layer.length,
    ...layer.flatMap((held) => [held.length, ...held]),
  ]);
  const bytes = bytesOf([layers.length, ...flat]);
  return { id, numbers: deflateRawSync(bytes).toString('base64') };
}

/**
 * Unpacks a map; undefined when it was cut short or altered on its way.
 * @example unpackMap(packMap(map)) // equals map
 */
export function unpackMap({ id, numbers: text }: PackedMap): ExpertMap | undefined {
  const numbers = inflate(text);
  if (!numbers) return undefined;
  let at = 0;
  const next = (): number => numbers[at++] ?? Number.NaN;
  const listOf = <T>(read: () => T): T[] | undefined => {
    const count = next();
    return count <= numbers.length ? Array.from({ length: count }, read) : undefined;
  };
  const layers = listOf(() => listOf(() => listOf(next)));
  if (!layers?.every((layer) => layer?.every((held) => held?.every(Number.isInteger))))
    return undefined;
  return at === numbers.length ? { id, layers: layers as number[][][] } : undefined;
}

/** The numbers of a text; undefined where it is no deflated one. */
function inflate(text: string): number[] | undefined {
  try {
    return numbersOf(inflateRawSync(Buffer.from(text, 'base64')));
  } catch {
    return undefined;
  }
}

/** Characters of a map's digest: maps of one id never differ but by a fault. */
const CHECK_CHARACTERS = 16;

function checkOf(map: ExpertMap): string {
  const text = JSON.stringify(map.layers);
  return createHash('sha256').update(text).digest('base64').slice(0, CHECK_CHARACTERS);
}

/**
 * Packs a map as what differs from another one. Whole, a map of 16 layers, 129 ranks and 3 experts takes 12 KB;
 * where a third of it changed, the change takes 6 KB (packing.test).
 * @example packChange(inUse, next).cells
 */
export function packChange(base: ExpertMap, next: ExpertMap): MapChange {
  const numbers: number[] = [];
  next.layers.forEach((layer, l) =>
    layer.forEach((held, rank) => {
      const before = base.layers[l]?.[rank] ?? [];
      const isSame = before.length === held.length && before.every((e, i) => e === held[i]);
      if (!isSame) numbers.push(l, rank, held.length, ...held);
    }),
  );
  const cells = bytesOf(numbers).toString('base64');
  return { id: next.id, base: base.id, cells, check: checkOf(next) };
}

/**
 * Builds a map from one that is held; undefined when what comes out is not the map that was packed.
 * @example unpackChange(inUse, packChange(inUse, next)) // equals next
 */
export function unpackChange(base: ExpertMap, change: MapChange): ExpertMap | undefined {
  const numbers = numbersOf(Buffer.from(change.cells, 'base64'));
  const layers = base.layers.map((layer) => layer.map((held) => [...held]));
  for (let at = 0; at < numbers.length; at += 3 + (numbers[at + 2] ?? 0)) {
    const [layer = 0, rank = 0, count = 0] = numbers.slice(at, at + 3);
    const ranks = layers[layer];
    if (ranks?.[rank]) ranks[rank] = numbers.slice(at + 3, at + 3 + count);
  }
  const map = { id: change.id, layers };
  return checkOf(map) === change.check ? map : undefined;
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
