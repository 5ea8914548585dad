import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CALM, play, survives, type Trouble } from './switch-play.js';

const TROUBLES: readonly (readonly [string, Trouble])[] = [
  ['two coordinators', { ...CALM, coordinators: 2 }],
  ['a group formed anew', { ...CALM, reforms: true, lateShare: 0.2 }],
  [
    'all of it',
    {
      ...CALM,
      lateShare: 0.3,
      lostShare: 0.05,
      restarts: true,
      reforms: true,
      coordinators: 2,
    },
  ],
  ['kills of all agents, with two coordinators', { ...CALM, killsAll: true, coordinators: 2 }],
];

for (const [what, trouble] of TROUBLES)
  test(`under ${what} no step begins with two maps, and the group goes on afterwards`, () =>
    survives(trouble));

test('without fences late orders do mix maps, so the stand-in can show it', async () => {
  const trouble: Trouble = {
    ...CALM,
    lateShare: 0.4,
    lostShare: 0.1,
    restarts: true,
    coordinators: 2,
  };
  let mixed = 0;
  for (let seed = 1; seed <= 40 && mixed === 0; seed += 1) {
    const { group, stepsAfter } = await play(seed, trouble, { checksFences: false });
    if (group.mixed.length > 0 || stepsAfter < 180) mixed += 1;
  }
  assert.ok(mixed > 0);
});
