import assert from 'node:assert/strict';
import { test } from 'node:test';
import { asId, type EndpointId } from '../../src/core/ids/index.js';
import type { RankReply } from '../../src/core/groups/index.js';
import { PublishedState, type PublishedEndpoint } from '../../src/core/published/index.js';
import { GroupPoller } from '../../src/group/group-poller.js';
import { OwnGroup } from '../../src/group/own-group.js';
import { groupDigest, rankReply } from '../fixtures/engine.js';

const PORT = 7400;
const RANKS = 3;
const SERVICE = asId<PublishedEndpoint['service']>('llm');

/**
 * Three groups of three behind one service; engines are assigned to groups round-robin by address.
 */
function engineAt(index: number, incarnation = 1): PublishedEndpoint {
  return {
    id: asId<EndpointId>(`e-${index}-${incarnation}`),
    service: SERVICE,
    address: `10.0.0.${index}:8228`,
    dataCentre: asId('a'),
    slots: 8,
    isLeaving: false,
    startedAtMs: 0,
  };
}

const groupAt = (index: number): string => `g${index % RANKS}`;
const agentAt = (index: number): string => `10.0.0.${index}:${PORT}`;
const replyAt = (index: number): RankReply =>
  rankReply(Math.floor(index / RANKS), { group: groupAt(index), ranks: RANKS });

interface Agent {
  readonly state: PublishedState;
  readonly group: OwnGroup;
  readonly poller: GroupPoller;
  readonly unresponsive: Set<number>;
  readonly polled: string[];
}

function startAgent(index: number): Agent {
  const state = new PublishedState();
  state.offerList(
    Array.from({ length: 9 }, (_, i) => engineAt(i)),
    false,
  );
  const group = new OwnGroup(state, { host: `10.0.0.${index}`, port: 8228 }, PORT);
  group.recordOwnReply(replyAt(index));
  const unresponsive = new Set<number>();
  const polled: string[] = [];
  const poller = new GroupPoller({
    self: agentAt(index),
    group: () => group.group,
    agents: () => group.agents(),
    onReply: (address, reply) => group.recordReply(address, reply),
    clock: { nowMs: () => 0, wallMs: () => 0 },
    callAll: (_, members) =>
      Promise.resolve(
        members.map(({ address }) => {
          polled.push(address);
          const at = Number(/\.(\d+):/.exec(address)?.[1]);
          return unresponsive.has(at) ? undefined : replyAt(at);
        }),
      ),
  });
  return { state, group, poller, unresponsive, polled };
}

test('a coordinator polls agents of other groups of its service only once', async () => {
  const agent = startAgent(1);
  const seen = await agent.poller.poll(undefined, [], false);
  assert.equal(agent.polled.length, 9);
  assert.ok(seen.kind === 'seen');
  assert.deepEqual(seen.addresses, [1, 4, 7].map(agentAt));
  agent.polled.length = 0;
  await agent.poller.poll(undefined, [], false);
  assert.deepEqual(agent.polled, [1, 4, 7].map(agentAt));
});

test('an unresponsive agent of another group does not make the own group incomplete', async () => {
  const agent = startAgent(1);
  agent.unresponsive.add(2);
  assert.equal((await agent.poller.poll(undefined, [], false)).kind, 'seen');
  agent.unresponsive.add(4);
  assert.equal((await agent.poller.poll(undefined, [], false)).kind, 'unseen');
});

test('the digest of the own coordinator also identifies members', () => {
  const { group } = startAgent(4);
  const hosts = ['10.0.0.1', '10.0.0.4', '10.0.0.7'];
  const digest = groupDigest({ group: 'g1', hosts });
  group.recordDigest(digest);
  assert.equal(group.isComplete(), true);
  assert.deepEqual(group.agents(), [1, 4, 7].map(agentAt));
});

test('members that are temporarily not listed are still polled, including the own engine', () => {
  const { group, state } = startAgent(4);
  const hosts = ['10.0.0.1', '10.0.0.4', '10.0.0.7'];
  group.agents();
  group.recordDigest(groupDigest({ group: 'g1', hosts }));
  const others = Array.from({ length: 9 }, (_, i) => i).filter((i) => i !== 4 && i !== 7);
  state.offerList(
    others.map((i) => engineAt(i)),
    false,
  );
  for (const index of [1, 4, 7]) assert.ok(group.agents().includes(agentAt(index)));
});

test('the successor of a replaced engine is found among those whose group is unknown', async () => {
  const agent = startAgent(1);
  await agent.poller.poll(undefined, [], false);
  const listed = Array.from({ length: 9 }, (_, i) => engineAt(i, i === 4 ? 2 : 1));
  agent.state.offerList(listed, false);
  assert.deepEqual(agent.group.agents(), [1, 4, 7].map(agentAt));
  const seen = await agent.poller.poll(undefined, [], false);
  assert.equal(seen.kind, 'seen');
});
