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

test('agents take over after the poll timeout, staggered by rank', async () => {
  for (const rank of [0, 1, 5]) {
    const { election, time } = createAgent(rank);
    const dueMs = takeoverTimeoutMs(RANKS) + rank * TAKEOVER_STAGGER_MS;
    await time.runUntil(dueMs);
    assert.equal(election.shouldCoordinate(), false);
    await time.runUntil(dueMs + 1);
    assert.equal(election.shouldCoordinate(), true);
  }
});

test('an agent whose rank is unknown never coordinates', async () => {
  const { election, time } = createAgent(undefined);
  await time.runUntil(60_000);
  assert.equal(election.shouldCoordinate(), false);
});

test('of two coordinators the one with the lower address continues', async () => {
  const { election, time, metrics } = createAgent(3);
  await time.runUntil(10_000);
  assert.equal(election.shouldCoordinate(), true);
  election.recordPoll('10.0.0.4:1');
  assert.equal(election.shouldCoordinate(), true);
  election.recordPoll('10.0.0.2:1');
  assert.equal(election.shouldCoordinate(), false);
  assert.equal(metrics.value('coordinator_changes_total', { to: 'self' }), 1);
  assert.equal(metrics.value('coordinator_changes_total', { to: 'other' }), 1);
});

test('a candidate does not take over when another agent reports a recent coordinator', async () => {
  const { election, time, metrics } = createAgent(3);
  await time.runUntil(10_000);
  assert.equal(election.isCandidate(), true);
  election.recordReply(rankReply(7, { heard: { from: '10.0.0.4:1', agoMs: 100 } }));
  assert.equal(election.isCandidate(), true, 'a coordinator with a higher address yields');
  election.recordReply(rankReply(7, { heard: { from: '10.0.0.0:1', agoMs: 300 } }));
  assert.equal(election.shouldCoordinate(), false);
  assert.equal(metrics.value('coordinator_changes_total', { to: 'self' }), 0);
  // The timeout counts from when the coordinator was observed, not from when that was reported.
  await time.runUntil(9700 + takeoverTimeoutMs(RANKS) + 3 * TAKEOVER_STAGGER_MS + 1);
  assert.equal(election.shouldCoordinate(), true);
});

test('an agent reports its recent poller, except to the poller itself', async () => {
  const { election, time } = createAgent(9);
  assert.equal(election.recentPollerExcept(undefined), undefined);
  election.recordPoll('10.0.0.0:1');
  await time.runUntil(250);
  election.recordPoll('10.0.0.3:1');
  assert.deepEqual(election.recentPollerExcept('10.0.0.3:1'), { from: '10.0.0.0:1', agoMs: 250 });
  assert.equal(election.recentPollerExcept('10.0.0.0:1'), undefined);
  await time.runUntil(takeoverTimeoutMs(RANKS) + 1);
  assert.equal(election.recentPollerExcept('10.0.0.3:1'), undefined, 'the poll is too old');
});
