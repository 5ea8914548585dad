import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { seededRandom } from '../../../src/core/clock/index.js';
import {
  CountDeltas,
  packCounts,
  packMapChange,
  packMap,
  unpackMapChange,
  unpackCounts,
  unpackMap,
} from '../../../src/core/groups/index.js';

const mapArbitrary = (maxExpert: number) =>
  fc.array(
    fc.array(fc.array(fc.nat({ max: maxExpert }), { maxLength: 8 }), {
      minLength: 1,
      maxLength: 12,
    }),
    { minLength: 1, maxLength: 4 },
  );

test('maps survive packing and unpacking, also with expert numbers above 255', () => {
  for (const maxExpert of [250, 60_000])
    fc.assert(
      fc.property(mapArbitrary(maxExpert), (layers) => {
        const map = { id: 'm', layers };
        assert.deepEqual(unpackMap(packMap(map)), map);
      }),
    );
});

test('truncated, extended or malformed packed maps are rejected', () => {
  const packed = packMap({ id: 'm', layers: [[[1, 2], [3]]] });
  const whole = inflateRawSync(Buffer.from(packed.numbers, 'base64'));
  const pack = (bytes: Buffer): string => deflateRawSync(bytes).toString('base64');
  assert.ok(unpackMap({ ...packed, numbers: pack(whole) }));
  for (let length = 0; length < whole.length; length += 1)
    assert.equal(unpackMap({ ...packed, numbers: pack(whole.subarray(0, length)) }), undefined);
  const longer = Buffer.concat([whole, Buffer.from([1, 0])]);
  assert.equal(unpackMap({ ...packed, numbers: pack(longer) }), undefined);
  assert.equal(unpackMap({ ...packed, numbers: packed.numbers.slice(0, 4) }), undefined);
  assert.equal(unpackMap({ ...packed, numbers: 'nonsense' }), undefined);
});

test('unpacked counts are within half a quantization step of the original', () => {
  fc.assert(
    fc.property(
      fc.array(fc.array(fc.nat({ max: 1e7 }), { minLength: 1, maxLength: 40 }), { minLength: 1 }),
      (counts) => {
        const packed = packCounts(counts);
        unpackCounts(packed).forEach((layer, l) =>
          layer.forEach((count, e) =>
            assert.ok(Math.abs(count - (counts[l]?.[e] ?? 0)) <= packed.unit / 2 + 1e-6),
          ),
        );
      },
    ),
  );
  assert.deepEqual(unpackCounts(packCounts([[0, 0]])), [[0, 0]]);
});

test('a packed map of 63 ranks and the counts of one rank stay small enough for a 5.6 Mbit/s link', () => {
  const layers = Array.from({ length: 8 }, () =>
    Array.from({ length: 63 }, (_, rank) => [0, 1, 2, 3, 4].map((k) => (rank + 63 * k) % 252)),
  );
  assert.ok(JSON.stringify(packMap({ id: '1024', layers })).length < 4300);
  const counts = Array.from({ length: 8 }, () => Array.from({ length: 252 }, (_, e) => e * 997));
  assert.ok(JSON.stringify(packCounts(counts)).length < 2900);
});

test('each coordinator gets the counts since its last poll, never negative or stale ones after a restart', () => {
  const deltas = new CountDeltas();
  const origin = { groupEpoch: 1, engineStartedAtMs: 100 };
  assert.equal(deltas.takeDelta('a', origin, [[10, 0]]), undefined);
  assert.deepEqual(deltas.takeDelta('a', origin, [[15, 1]]), [[5, 1]]);
  assert.equal(
    deltas.takeDelta('b', origin, [[20, 1]]),
    undefined,
    'first call of a second coordinator',
  );
  assert.deepEqual(deltas.takeDelta('a', origin, [[25, 1]]), [[10, 0]]);
  assert.deepEqual(
    deltas.takeDelta('a', origin, [[3, 4]]),
    [[0, 3]],
    'unreported engine restart: totals decreased',
  );
  const reformed = { ...origin, groupEpoch: 2 };
  assert.equal(deltas.takeDelta('a', reformed, [[9, 9]]), undefined, 'group re-formed');
  const restarted = { ...reformed, engineStartedAtMs: 200 };
  assert.equal(
    deltas.takeDelta('a', restarted, [[10, 9]]),
    undefined,
    'reported engine restart, even if totals increased',
  );
});

/**
 * Guards against sending whole maps in every round, which took 22 KB per map for a group of this
 * size.
 */
test('a map change restores the map and takes less than 6 KB when a third of a large map changed', () => {
  const ranks = 129;
  const layers = Array.from({ length: 16 }, (_, l) =>
    Array.from({ length: ranks }, (_, rank) => [rank, rank + ranks, (7 * rank + l) % 258]),
  );
  const base = { id: '1024', layers };
  const next = {
    id: '2048',
    layers: layers.map((layer) =>
      layer.map((held, rank) => (rank % 3 === 0 ? [...held.slice(0, 2), (rank + 5) % 258] : held)),
    ),
  };
  const change = packMapChange(base, next);
  assert.deepEqual(unpackMapChange(base, change), next);
  const random = seededRandom(7);
  const randomLayers = layers.map((layer) =>
    layer.map((held) => held.map(() => Math.floor(258 * random()))),
  );
  const bytes = JSON.stringify(packMap({ id: '3072', layers: randomLayers })).length;
  assert.ok(bytes > 10_000 && bytes < 13_000, `${bytes} bytes whole`);
  const deflated = deflateRawSync(JSON.stringify(change)).toString('base64');
  assert.ok(deflated.length < 6000, `${deflated.length} bytes`);
  assert.equal(
    packMapChange(base, { ...base, id: '2048' }).cells,
    '',
    'equal maps give an empty change',
  );
});

test('a map change that fails its checksum is rejected', () => {
  const base = { id: 'a', layers: [[[0, 1], [2]]] };
  const next = { id: 'b', layers: [[[0, 3], [2]]] };
  const change = packMapChange(base, next);
  const other = { id: 'a', layers: [[[0, 1], [4]]] };
  assert.equal(unpackMapChange(other, change), undefined, 'different base with the same id');
  assert.equal(unpackMapChange(base, { ...change, cells: 'AAA=' }), undefined, 'truncated cells');
});

test('map changes restore maps with empty layers and ranks that lose all their experts', () => {
  fc.assert(
    fc.property(layersArbitrary(), layersArbitrary(), (before, after) => {
      const base = { id: 'a', layers: before };
      const next = { id: 'b', layers: after };
      assert.deepEqual(unpackMapChange(base, packMapChange(base, next)), next);
    }),
  );
});

/** Two layers of three ranks with up to four experts each. */
function layersArbitrary(): fc.Arbitrary<number[][][]> {
  const held = fc.array(fc.nat({ max: 300 }), { maxLength: 4 });
  return fc.array(fc.array(held, { minLength: 3, maxLength: 3 }), { minLength: 2, maxLength: 2 });
}
