import assert from 'node:assert/strict';
import { test } from 'node:test';
import { VirtualTime } from '../../fakes/rank-engine/index.js';
import { rankReply } from '../fixtures/engine.js';
import { silentLog } from '../../src/core/logging/index.js';
import { Metrics } from '../../src/core/metrics/index.js';
import { TAKEOVER_STAGGER_MS, takeoverTimeoutMs } from '../../src/group/consts.js';
import { CoordinatorElection } from '../../src/group/coordinator-election.js';

const RANKS = 63;

interface Agent {
  readonly election: CoordinatorElection;
  readonly time: VirtualTime;
  readonly metrics: Metrics;
}

function createAgent(rank: number | undefined, ranks = RANKS): Agent {
  const time = new VirtualTime();
  const metrics = new Metrics();
  const election = new CoordinatorElection({
    self: `10.0.0.${rank ?? 0}:1`,
    rank: () => rank,
    size: () => ranks,
    clock: time,
    log: silentLog,
    metrics,
  });
  return { election, time, metrics };
}

test('an agent takes over when nobody has looked at it for long, those of lower rank first', async () => {
  for (const rank of [0, 1, 5]) {
    const { election, time } = createAgent(rank);
    const dueMs = takeoverTimeoutMs(RANKS) + rank * TAKEOVER_STAGGER_MS;
    await time.playUntil(dueMs);
    assert.equal(election.shouldCoordinate(), false);
    await time.playUntil(dueMs + 1);
    assert.equal(election.shouldCoordinate(), true);
  }
});

test('an agent that does not know its rank never coordinates', async () => {
  const { election, time } = createAgent(undefined);
  await time.playUntil(60_000);
  assert.equal(election.shouldCoordinate(), false);
});

test('of two agents that coordinate the one with the lower address goes on', async () => {
  const { election, time, metrics } = createAgent(3);
  await time.playUntil(10_000);
  assert.equal(election.shouldCoordinate(), true);
  election.recordPoll('10.0.0.4:1');
  assert.equal(election.shouldCoordinate(), true);
  election.recordPoll('10.0.0.2:1');
  assert.equal(election.shouldCoordinate(), false);
  assert.equal(metrics.value('coordinator_changes_total', { to: 'self' }), 1);
  assert.equal(metrics.value('coordinator_changes_total', { to: 'other' }), 1);
});

test('an agent that is due does not take over when others have heard of a coordinator since', async () => {
  const { election, time, metrics } = createAgent(3);
  await time.playUntil(10_000);
  assert.equal(election.isCandidate(), true);
  election.recordReply(rankReply(7, { heard: { from: '10.0.0.4:1', agoMs: 100 } }));
  assert.equal(election.isCandidate(), true, 'one behind it in the line yields to it');
  election.recordReply(rankReply(7, { heard: { from: '10.0.0.0:1', agoMs: 300 } }));
  assert.equal(election.shouldCoordinate(), false);
  assert.equal(metrics.value('coordinator_changes_total', { to: 'self' }), 0);
  // Its patience counts from when the coordinator was heard, not from when it was told so.
  await time.playUntil(9700 + takeoverTimeoutMs(RANKS) + 3 * TAKEOVER_STAGGER_MS + 1);
  assert.equal(election.shouldCoordinate(), true);
});

test('an agent tells whose looks reached it of late, but not to the one who looks', async () => {
  const { election, time } = createAgent(9);
  assert.equal(election.recentPollerExcept(undefined), undefined);
  election.recordPoll('10.0.0.0:1');
  await time.playUntil(250);
  election.recordPoll('10.0.0.3:1');
  assert.deepEqual(election.recentPollerExcept('10.0.0.3:1'), { from: '10.0.0.0:1', agoMs: 250 });
  assert.equal(election.recentPollerExcept('10.0.0.0:1'), undefined);
  await time.playUntil(takeoverTimeoutMs(RANKS) + 1);
  assert.equal(election.recentPollerExcept('10.0.0.3:1'), undefined, 'too long ago');
});
