import assert from 'node:assert/strict';
import { test } from 'node:test';
import { checkSettings, nearestName, readSettings } from '../../../src/core/settings/index.js';

const ADDRESS = { host: '127.0.0.1', port: 0 };
const VALID = {
  role: 'entry',
  instance: 'kgl-a-entry-1',
  dataCentre: 'kgl-a',
  platform: { url: 'http://127.0.0.1:1' },
  listen: { callers: ADDRESS, daemons: ADDRESS, operators: ADDRESS },
};

function detailOf(data: unknown): string {
  const result = checkSettings(data);
  assert.ok(result.err);
  return result.val.detail;
}

test('valid settings get every default', () => {
  const settings = checkSettings(VALID).unwrap();
  assert.equal(settings.limits.bodyBytes, 1_048_576);
  assert.equal(settings.timing.watchMs, 8000);
  assert.deepEqual(settings.peers, []);
});

/** Time within which a change must be in force everywhere, and response time beyond a watch's wait, ms. */
const IN_FORCE_MS = 14_000;
const RESPONSE_MARGIN_MS = 2000;

test('a stalled connection is detected, and a full call completes on a new one, within the time for a change', () => {
  const { watchMs } = checkSettings(VALID).unwrap().timing;
  assert.ok(watchMs + 2 * RESPONSE_MARGIN_MS < IN_FORCE_MS, `${watchMs} ms`);
});

test('several errors are reported together, each with path, value and remedy', () => {
  const detail = detailOf({ ...VALID, role: 'entri', limits: { bodyBytes: 1 }, lisen: {} });
  assert.match(detail, /\/role: value "entri"; use one of entry, agent/);
  assert.match(detail, /\/limits\/bodyBytes: value 1 must be >= 1024/);
  assert.match(detail, /unknown key "lisen"; did you mean "listen"\?/);
});

test('a role whose required settings are missing is reported', () => {
  assert.match(detailOf({ ...VALID, role: 'agent' }), /"endpoint" is missing; an agent needs/);
  assert.match(
    detailOf({ ...VALID, listen: { daemons: ADDRESS, operators: ADDRESS } }),
    /"callers" is missing; an entry needs/,
  );
});

test('values other than objects, and unreadable files, are refused with a remedy', () => {
  for (const data of [null, [], 'x', 7]) assert.match(detailOf(data), /not a JSON object/);
  const missing = readSettings('/nowhere/settings.json');
  assert.ok(missing.err);
  assert.match(missing.val.message, /Name a readable JSON file/);
});

test('a known name is suggested only when it is close enough', () => {
  assert.equal(nearestName('bodyByte', ['bodyBytes', 'bodyMs']), 'bodyBytes');
  assert.equal(nearestName('zzzz', ['bodyBytes']), undefined);
});
