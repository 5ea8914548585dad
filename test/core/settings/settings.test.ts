import assert from 'node:assert/strict';
import { test } from 'node:test';
import { checkSettings, nearestName, readSettings } from '../../../src/core/settings/index.js';

const ADDRESS = { host: '127.0.0.1', port: 0 };
const GOOD = {
  role: 'entry',
  instance: 'kgl-a-entry-1',
  dataCentre: 'kgl-a',
  platform: { url: 'http://127.0.0.1:1' },
  listen: { callers: ADDRESS, daemons: ADDRESS, operators: ADDRESS },
};

function factsOf(data: unknown): string {
  const result = checkSettings(data);
  assert.ok(result.err);
  return result.val.facts;
}

test('good settings get every default', () => {
  const settings = checkSettings(GOOD).unwrap();
  assert.equal(settings.limits.bodyBytes, 1_048_576);
  assert.equal(settings.timing.watchMs, 8000);
  assert.deepEqual(settings.peers, []);
});

/** Time within which a change is to be in force everywhere, ms, and the time for an answer beyond a watch's wait. */
const IN_FORCE_MS = 14_000;
const ANSWER_MS = 2000;

test('a connection that fell silent is found, and a whole call made by a new one, before a change must be in force', () => {
  const { watchMs } = checkSettings(GOOD).unwrap().timing;
  assert.ok(watchMs + 2 * ANSWER_MS < IN_FORCE_MS, `${watchMs} ms`);
});

test('several faults are named at once, each with path, value and remedy', () => {
  const facts = factsOf({ ...GOOD, role: 'entri', limits: { bodyBytes: 1 }, lisen: {} });
  assert.match(facts, /\/role: value "entri"; use one of entry, agent/);
  assert.match(facts, /\/limits\/bodyBytes: value 1 must be >= 1024/);
  assert.match(facts, /unknown key "lisen"; did you mean "listen"\?/);
});

test('a role without what it needs is named', () => {
  assert.match(factsOf({ ...GOOD, role: 'agent' }), /"endpoint" is missing; an agent needs/);
  assert.match(
    factsOf({ ...GOOD, listen: { daemons: ADDRESS, operators: ADDRESS } }),
    /"callers" is missing; an entry needs/,
  );
});

test('things that are no object, and files that cannot be read, are refused with a remedy', () => {
  for (const data of [null, [], 'x', 7]) assert.match(factsOf(data), /not a JSON object/);
  const missing = readSettings('/nowhere/settings.json');
  assert.ok(missing.err);
  assert.match(missing.val.message, /Name a readable JSON file/);
});

test('a nearest name is offered only when it is near', () => {
  assert.equal(nearestName('bodyByte', ['bodyBytes', 'bodyMs']), 'bodyBytes');
  assert.equal(nearestName('zzzz', ['bodyBytes']), undefined);
});
