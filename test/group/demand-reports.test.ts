/** The way of entries' demand through the agents to the coordinator, and of the sum back. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { deflateRawSync } from 'node:zlib';
import type { RankOrder, RankReply } from '../../src/core/groups/index.js';
import { silentLog, type LogFields } from '../../src/core/logging/index.js';
import { DemandSum } from '../../src/core/urgency/index.js';
import type { Demand } from '../../src/generated/messages.types.js';
import { isGroupDigestRequest, isRankOrder } from '../../src/generated/messages.validator.js';
import { ActiveEntries } from '../../src/group/active-entries.js';
import { DigestBuilder } from '../../src/group/digest-builder.js';
import { FanOut, serveBranch } from '../../src/group/fan-out.js';
import { rankReply } from '../fixtures/engine.js';

const report = (perS: number): Demand => ({
  byUrgency: { 10: perS },
  byOrganisation: { 'org-1': perS },
  othersPerS: 0,
});

interface Harness {
  readonly builder: DigestBuilder;
  readonly logLines: LogFields[];
  nowMs: number;
}

function start(): Harness {
  const logLines: LogFields[] = [];
  const harness: Harness = {
    builder: new DigestBuilder(
      { nowMs: () => harness.nowMs, wallMs: () => harness.nowMs },
      { ...silentLog, warn: (_, fields) => void logLines.push(fields ?? {}) },
    ),
    logLines,
    nowMs: 5000,
  };
  return harness;
}

function build({ builder }: Harness, replies: readonly RankReply[]): Demand | undefined {
  return builder.build(replies, replies, []).demand;
}

test('an agent hands each report to the coordinator once, the latest of each entry', () => {
  const entries = new ActiveEntries();
  entries.record('e-1', 1000, report(3));
  entries.record('e-1', 1200, report(4));
  entries.record('e-2', 1250);
  assert.deepEqual(entries.takeDemands(1300), [{ from: 'e-1', agoMs: 100, demand: report(4) }]);
  assert.deepEqual(entries.takeDemands(1300), []);
  assert.deepEqual(entries.recent(1300), ['e-1', 'e-2']);
});

test('the digest has the sum of the latest reports, whichever agents received them', () => {
  const harness = start();
  build(harness, [
    rankReply(0, { demands: [{ from: 'e-1', agoMs: 0, demand: report(8) }] }),
    rankReply(1, { demands: [] }),
  ]);
  harness.nowMs += 200;
  const sum = build(harness, [
    rankReply(0, { demands: [] }),
    rankReply(1, {
      demands: [
        { from: 'e-1', agoMs: 50, demand: report(5) },
        { from: 'e-2', agoMs: 20, demand: report(4) },
      ],
    }),
  ]);
  assert.deepEqual(sum?.byUrgency, { 10: 9 });
  assert.deepEqual(sum?.byOrganisation, { 'org-1': 9 });
});

// Agents of an older version reject a poll whose digest has an unknown field: the group would have no digest at all.
test('while one agent does not know the field, the digest goes without demand', () => {
  const demands = [{ from: 'e-1', agoMs: 0, demand: report(8) }];
  assert.equal(build(start(), [rankReply(0, { demands }), rankReply(1)]), undefined);
  assert.ok(build(start(), [rankReply(0, { demands }), rankReply(1, { demands: [] })]));
});

test('a report with absurd values is accepted without them, and logged with its entry', () => {
  const harness = start();
  const demand = { ...report(6), byUrgency: { 10: 6, 11: null, 12: -1 }, limit: 1e99 };
  assert.ok(isGroupDigestRequest({ from: 'e-1', sends: true, demand }));
  const sum = build(harness, [rankReply(0, { demands: [{ from: 'e-1', agoMs: 0, demand }] })]);
  assert.deepEqual(sum?.byUrgency, { 10: 6 });
  assert.equal(sum.limit, undefined);
  assert.equal(harness.logLines[0]?.['entry'], 'e-1');
});

test('reports reach the coordinator of a large group through branches', async () => {
  const ranks = 40;
  const addresses = Array.from({ length: ranks }, (_, rank) => `10.0.0.${rank}:1`);
  const call = (address: string): Promise<RankReply> => {
    const rank = addresses.indexOf(address);
    return Promise.resolve(
      rankReply(rank, { demands: [{ from: `e-${rank}`, agoMs: 0, demand: report(2) }] }),
    );
  };
  const fanOut = new FanOut({
    self: '10.0.0.0:1',
    clock: { nowMs: () => 0, wallMs: () => 0 },
    call,
    callBranch: (_, branch) => serveBranch(call, branch),
  });
  const members = addresses.map((address) => ({ address }));
  const replies = await fanOut.callAll({ group: 'g', kind: 'look', epoch: 0 }, members, 250);
  assert.deepEqual(build(start(), replies as RankReply[])?.byUrgency, { 10: 2 * ranks });
});

const ENTRIES = 410;
const RANKS = 600;

test('demand costs a large deployment far less than 7 KB/s for each daemon', () => {
  const organisations = Array.from({ length: 24 }, (_, i) => `organisation-${100 + i}`);
  const one = (entry: number): Demand => ({
    byUrgency: { 0: 0.42, 1: 0.31, 2: 0.77, 10: 3.41 + entry / 100, 11: 5.12, 12: 1.03 },
    byOrganisation: Object.fromEntries(
      organisations
        .slice(entry % 16, (entry % 16) + 8)
        .map((id, i) => [id, 1.23 + i + entry / 100]),
    ),
    othersPerS: 1.07,
    holdMs: 1234,
    limit: 1503,
  });
  const sum = new DemandSum();
  for (let entry = 0; entry < ENTRIES; entry += 1) sum.record(`e-${entry}`, one(entry), entry);
  const digest = sum.read(500) as Demand;
  const order: RankOrder = {
    group: 'g',
    kind: 'look',
    epoch: 0,
    digest: { ...EMPTY_DIGEST, demand: digest },
  };
  assert.ok(isRankOrder(order));
  const bytesOf = (value: unknown): number => JSON.stringify(value).length;
  const packedOf = (value: unknown): number =>
    deflateRawSync(JSON.stringify(value)).length * (4 / 3);
  // Entries report 3.3 times a second in a URL, and receive the sum 6.7 times a second.
  const fromEntries = ENTRIES * 3.3 * encodeURIComponent(JSON.stringify(one(7))).length;
  const toEntries = ENTRIES * 6.7 * bytesOf({ demand: digest, takesDemand: true });
  // Each report is sent to a forwarder and from there, packed with others, to the coordinator.
  const reports = Array.from({ length: 8 }, (_, i) => ({
    from: `e-${i}`,
    agoMs: 50,
    demand: one(i),
  }));
  const toCoordinator = ENTRIES * 3.3 * (bytesOf(reports[0]) + packedOf(reports) / 8);
  const fromCoordinator = RANKS * 4 * bytesOf({ demand: digest }) + 50 * 4 * packedOf(digest);
  const all = fromEntries + toEntries + toCoordinator + fromCoordinator;
  const perDaemon = all / (ENTRIES + RANKS);
  if (process.env['SHOW'])
    console.log(
      JSON.stringify({
        perDaemon,
        toCoordinator,
        coordinatorPacked: ENTRIES * 3.3 * (packedOf(reports) / 8),
        fromEntries,
        toEntries,
        fromCoordinator,
        sum: bytesOf(digest),
        one: bytesOf(one(7)),
      }),
    );
  assert.ok(perDaemon < 4500, `${perDaemon}`);
});

const EMPTY_DIGEST = {
  group: 'g',
  whole: true,
  hosts: [],
  pace: [],
  load: [],
  running: 0,
  stepMs: 0,
  entries: 0,
  ageMs: 0,
};
