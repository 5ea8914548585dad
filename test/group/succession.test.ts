import assert from 'node:assert/strict';
import { test } from 'node:test';
import { VirtualTime } from '../../fakes/rank-engine/index.js';
import { rankReply } from '../fixtures/engine.js';
import { silentLog } from '../../src/core/logging/index.js';
import { Metrics } from '../../src/core/metrics/index.js';
import { UNLOOKED_STAGGER_MS, unlookedMs } from '../../src/group/consts.js';
import { Succession } from '../../src/group/succession.js';

const RANKS = 63;

interface Agent {
  readonly succession: Succession;
  readonly time: VirtualTime;
  readonly metrics: Metrics;
}

function agentOf(rank: number | undefined, ranks = RANKS): Agent {
  const time = new VirtualTime();
  const metrics = new Metrics();
  const succession = new Succession({
    self: `10.0.0.${rank ?? 0}:1`,
    rank: () => rank,
    size: () => ranks,
    clock: time,
    log: silentLog,
    metrics,
  });
  return { succession, time, metrics };
}

test('an agent takes over when nobody has looked at it for long, those of lower rank first', async () => {
  for (const rank of [0, 1, 5]) {
    const { succession, time } = agentOf(rank);
    const dueMs = unlookedMs(RANKS) + rank * UNLOOKED_STAGGER_MS;
    await time.playUntil(dueMs);
    assert.equal(succession.takesOver(), false);
    await time.playUntil(dueMs + 1);
    assert.equal(succession.takesOver(), true);
  }
});

test('an agent that does not know its rank never coordinates', async () => {
  const { succession, time } = agentOf(undefined);
  await time.playUntil(60_000);
  assert.equal(succession.takesOver(), false);
});

test('of two agents that coordinate the one with the lower address goes on', async () => {
  const { succession, time, metrics } = agentOf(3);
  await time.playUntil(10_000);
  assert.equal(succession.takesOver(), true);
  succession.noteLook('10.0.0.4:1');
  assert.equal(succession.takesOver(), true);
  succession.noteLook('10.0.0.2:1');
  assert.equal(succession.takesOver(), false);
  assert.equal(metrics.value('coordinator_changes_total', { to: 'self' }), 1);
  assert.equal(metrics.value('coordinator_changes_total', { to: 'other' }), 1);
});

test('an agent that is due does not take over when others have heard of a coordinator since', async () => {
  const { succession, time, metrics } = agentOf(3);
  await time.playUntil(10_000);
  assert.equal(succession.isDue(), true);
  succession.noteReply(rankReply(7, { heard: { from: '10.0.0.4:1', agoMs: 100 } }));
  assert.equal(succession.isDue(), true, 'one behind it in the line yields to it');
  succession.noteReply(rankReply(7, { heard: { from: '10.0.0.0:1', agoMs: 300 } }));
  assert.equal(succession.takesOver(), false);
  assert.equal(metrics.value('coordinator_changes_total', { to: 'self' }), 0);
  // Its patience counts from when the coordinator was heard, not from when it was told so.
  await time.playUntil(9700 + unlookedMs(RANKS) + 3 * UNLOOKED_STAGGER_MS + 1);
  assert.equal(succession.takesOver(), true);
});

test('an agent tells whose looks reached it of late, but not to the one who looks', async () => {
  const { succession, time } = agentOf(9);
  assert.equal(succession.heardBesides(undefined), undefined);
  succession.noteLook('10.0.0.0:1');
  await time.playUntil(250);
  succession.noteLook('10.0.0.3:1');
  assert.deepEqual(succession.heardBesides('10.0.0.3:1'), { from: '10.0.0.0:1', agoMs: 250 });
  assert.equal(succession.heardBesides('10.0.0.0:1'), undefined);
  await time.playUntil(unlookedMs(RANKS) + 1);
  assert.equal(succession.heardBesides('10.0.0.3:1'), undefined, 'too long ago');
});
