import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { Clock } from '../../../src/core/clock/index.js';
import { asId } from '../../../src/core/ids/index.js';
import {
  endpointFrom,
  PublishedRelay,
  PublishedState,
  type PublishedEndpoint,
} from '../../../src/core/published/index.js';
import type { PublishedAsk } from '../../../src/generated/messages.types.js';
import { isPublishedNews } from '../../../src/generated/messages.validator.js';
import { config, endpoint, route } from '../../gateway/harness.js';

interface Hub {
  readonly state: PublishedState;
  readonly relay: PublishedRelay;
  nowMs: number;
  /** Takes a list and a version that were proved now. */
  learn(endpoints: readonly PublishedEndpoint[], version?: number): void;
}

function startHub(life = 'l-1'): Hub {
  const state = new PublishedState();
  const clock: Clock = { nowMs: () => hub.nowMs, wallMs: () => hub.nowMs };
  const relay = new PublishedRelay({ state, clock, life: asId(life), isDirect: () => true });
  const hub: Hub = {
    state,
    relay,
    nowMs: 1000,
    learn: (endpoints, version = 1) => {
      state.offerConfig(config([route()], { version }), hub.nowMs);
      state.offerList(endpoints, false);
      relay.noteLearnt();
    },
  };
  return hub;
}

const ask = (change: Partial<PublishedAsk> = {}): PublishedAsk => ({
  life: '',
  sequence: 0,
  waitMs: 0,
  wantsProof: true,
  ...change,
});

const A = endpoint('a', '10.0.0.1:1');
const B = endpoint('b', '10.0.0.2:1');

test('whoever asks first is told all, with the version and the age of its proof', async () => {
  const hub = startHub();
  hub.learn([A, B], 7);
  hub.nowMs += 300;
  const news = await hub.relay.answer(ask());
  assert.ok(isPublishedNews(JSON.parse(JSON.stringify(news))));
  assert.deepEqual(news.written.map(endpointFrom), [A, B]);
  assert.deepEqual([news.isWhole, news.configVersion, news.provedAgoMs], [true, 7, 300]);
});

test('a relay that has learnt nothing yet says so in a message that fits its schema', async () => {
  const news = await startHub().relay.answer(ask());
  assert.ok(isPublishedNews(JSON.parse(JSON.stringify(news))));
  assert.equal(news.configVersion, undefined);
  assert.ok(news.provedAgoMs > 1e9);
});

test('those who follow are told what changed, once, as it is now', async () => {
  const hub = startHub();
  hub.learn([A]);
  const first = await hub.relay.answer(ask());
  hub.learn([A, B]);
  hub.learn([{ ...A, isLeaving: true }, B]);
  hub.learn([{ ...A, isLeaving: true }]);
  const follow = ask({ life: first.life, sequence: first.sequence });
  const news = await hub.relay.answer(follow);
  assert.equal(news.isWhole, false);
  assert.deepEqual(news.written.map(endpointFrom), [{ ...A, isLeaving: true }]);
  assert.deepEqual(news.removed, ['b']);
  const next = await hub.relay.answer({ ...follow, sequence: news.sequence });
  assert.deepEqual([next.written, next.removed], [[], []]);
});

test('of another life, of changes that are forgotten or yet to come, all is told', async () => {
  const hub = startHub();
  for (let i = 0; i < 700; i += 1) hub.learn([{ ...A, slots: i + 1 }]);
  const { sequence } = await hub.relay.answer(ask());
  for (const known of [
    { life: 'l-0', sequence },
    { life: 'l-1', sequence: 1 },
    { life: 'l-1', sequence: sequence + 1 },
  ])
    assert.equal((await hub.relay.answer(ask(known))).isWhole, true);
  assert.equal(
    (await hub.relay.answer(ask({ life: 'l-1', sequence: sequence - 500 }))).isWhole,
    false,
  );
});

test('a question is held until there is news: a change, a version, or a proof where that is wanted', async () => {
  const hub = startHub();
  hub.learn([A]);
  const { life, sequence } = await hub.relay.answer(ask());
  const hold = (change: Partial<PublishedAsk> = {}): Promise<string> => {
    const held = ask({ life, sequence, waitMs: 10_000, configVersion: 1, ...change });
    return hub.relay.answer(held).then(() => 'told');
  };
  const isHeld = (answer: Promise<string>): Promise<string> =>
    Promise.race([answer, new Promise<string>((done) => setImmediate(() => done('held')))]);
  const proof = hold();
  const change = hold({ wantsProof: false });
  assert.deepEqual([await isHeld(proof), await isHeld(change)], ['held', 'held']);
  hub.learn([A]);
  assert.deepEqual([await isHeld(proof), await isHeld(change)], ['told', 'held']);
  hub.learn([A, B]);
  assert.equal(await isHeld(change), 'told');
  assert.equal(await isHeld(hold({ configVersion: 0 })), 'told', 'another version');
  const over = await hub.relay.answer(ask({ life, sequence: sequence + 1, waitMs: 20 }));
  assert.deepEqual([over.written, over.removed], [[], []], 'the wait is over');
});

test('whatever changes come, whoever follows has the same list', async () => {
  const lists = fc.array(fc.subarray(['a', 'b', 'c', 'd']), { minLength: 1, maxLength: 12 });
  await fc.assert(
    fc.asyncProperty(lists, fc.array(fc.boolean()), async (steps, looks) => {
      const hub = startHub();
      const held = new Map<string, unknown>();
      let known = { life: '', sequence: 0 };
      for (const [i, ids] of steps.entries()) {
        hub.learn(ids.map((id) => ({ ...endpoint(id, '10.0.0.1:1'), slots: i + 1 })));
        if (!looks[i] && i < steps.length - 1) continue;
        const news = await hub.relay.answer(ask(known));
        if (news.isWhole) held.clear();
        for (const told of news.written) held.set(told.id, endpointFrom(told));
        for (const id of news.removed) held.delete(id);
        known = { life: news.life, sequence: news.sequence };
      }
      assert.deepEqual(new Map([...held].sort()), new Map([...hub.state.list].sort()));
    }),
  );
});
