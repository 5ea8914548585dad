import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CALM, play, survives, type Trouble } from './switch-play.js';

test('a calm group switches again and again and never waits', async () => {
  const { group, switched } = await play(1, CALM);
  assert.ok(switched > 50, `${switched} switches`);
  assert.deepEqual(group.mixed, []);
  assert.ok(group.longestHoldMs <= 80, `${group.longestHoldMs} ms between two steps`);
});

const TROUBLES: readonly (readonly [string, Trouble])[] = [
  ['late orders', { ...CALM, lateShare: 0.4 }],
  ['lost calls', { ...CALM, lostShare: 0.1 }],
  ['restarts of agents', { ...CALM, restarts: true }],
  // Engines outlive their agents: a version that one still holds must not be taken for another map.
  ['kills of all agents at once', { ...CALM, killsAll: true }],
  ['kills of all agents and late orders', { ...CALM, killsAll: true, lateShare: 0.2 }],
];

for (const [what, trouble] of TROUBLES)
  test(`under ${what} no step begins with two maps, and the group goes on afterwards`, () =>
    survives(trouble));
