import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  Admission,
  pressureOf,
  sacrificeThreshold,
  MIN_SACRIFICE_PRESSURE,
  type AdmissionRequest,
} from '../../../src/core/admission/index.js';
import { EMPTY_BODY } from '../../../src/core/config-feed/index.js';
import type {
  ConfigurationBody,
  EventConfig,
  OrganisationConfig,
} from '../../../src/generated/configuration.types.js';

const organisation = (id: string, weight = 1): OrganisationConfig => ({
  id,
  keySha256: '',
  weight,
  tokensPerSecond: 100,
});
const ORGANISATIONS = [organisation('large', 3), organisation('small', 1)];
const [LARGE, SMALL] = ORGANISATIONS as [OrganisationConfig, OrganisationConfig];
const BODY: ConfigurationBody = { ...EMPTY_BODY, organisations: ORGANISATIONS };

const IDLE: AdmissionRequest = {
  organisation: 'small',
  target: 'm',
  tokens: 10,
  predictedMs: 100,
  waitMs: 0,
  deadlineMs: 1000,
  priority: 5,
};
const BUSY: AdmissionRequest = { ...IDLE, predictedMs: 900, waitMs: 800 };

function admit(
  admission: Admission,
  req: AdmissionRequest,
  who: OrganisationConfig,
  body = BODY,
  nowMs = 0,
  wallMs = 0,
  entries = 1,
) {
  return admission.admit({ ...req, organisation: who.id }, who, body, entries, nowMs, wallMs);
}

test('a request that cannot meet its deadline is refused at once with a Retry-After', () => {
  const admission = new Admission();
  const refused = admit(admission, { ...IDLE, predictedMs: 5000, waitMs: 4200 }, SMALL);
  assert.deepEqual(
    [refused?.reason, refused?.outcome, refused?.retryAfterS],
    ['deadline-unreachable', 'not-run', 5],
  );
  assert.equal(admit(admission, { ...IDLE, deadlineMs: 0 }, SMALL)?.reason, 'deadline-passed');
});

test('an organisation may exceed its share while pressure is low', () => {
  const admission = new Admission();
  for (let n = 0; n < 200; n += 1) assert.equal(admit(admission, IDLE, SMALL), undefined);
});

test('under pressure an organisation that used more than its weight is refused, another is not', () => {
  const admission = new Admission();
  for (let n = 0; n < 200; n += 1) admit(admission, IDLE, SMALL);
  admit(admission, IDLE, LARGE);
  const overShare = admit(admission, BUSY, SMALL);
  assert.equal(overShare?.reason, 'share-exceeded');
  assert.ok((overShare?.retryAfterS ?? 0) >= 1);
  assert.equal(admit(admission, BUSY, LARGE), undefined);
});

test('a share is divided by the number of live entries', () => {
  const admitted = (entries: number): number => {
    const admission = new Admission();
    admit(admission, IDLE, LARGE);
    let count = 0;
    while (
      count < 1000 &&
      admit(admission, { ...BUSY, tokens: 1 }, SMALL, BODY, 0, 0, entries) === undefined
    )
      count += 1;
    return count;
  };
  assert.ok(admitted(4) < admitted(1));
});

test('a used share refills over time', () => {
  const admission = new Admission();
  for (let n = 0; n < 200; n += 1) admit(admission, IDLE, SMALL);
  admit(admission, IDLE, LARGE);
  assert.ok(admit(admission, BUSY, SMALL, BODY, 10));
  assert.equal(admit(admission, BUSY, SMALL, BODY, 60_000), undefined);
});

const EVENT: EventConfig = {
  id: 'bank',
  startMs: 1000,
  durationMs: 10_000,
  organisations: ['large'],
  surge: [{ target: 'm', requestsPerSecond: 1, tokensPerRequest: 1 }],
  sacrifice: ['m', 'small'],
};

test('load is shed in the order of the sacrifice list, and during the event only', () => {
  const body = { ...BODY, events: [EVENT] };
  assert.equal(sacrificeThreshold(EVENT, IDLE), MIN_SACRIFICE_PRESSURE);
  assert.ok(
    (sacrificeThreshold(EVENT, { ...IDLE, target: 'other' }) ?? 0) > MIN_SACRIFICE_PRESSURE,
  );
  assert.equal(
    sacrificeThreshold(EVENT, { ...IDLE, organisation: 'large', target: 'other' }),
    undefined,
  );
  const underPressure = { ...IDLE, predictedMs: 500, waitMs: 400 };
  const inside = admit(new Admission(), underPressure, LARGE, body, 0, 5000);
  assert.deepEqual([inside?.reason, inside?.retryAfterS], ['sacrificed', 6]);
  assert.equal(admit(new Admission(), underPressure, LARGE, body, 0, 20_000), undefined);
  assert.equal(
    admit(new Admission(), IDLE, LARGE, body, 0, 5000),
    undefined,
    'nothing is shed while pressure is low',
  );
});

test('pressure is the share of the remaining time spent waiting', () => {
  assert.equal(pressureOf({ ...IDLE, waitMs: 250 }), 0.25);
  assert.equal(pressureOf({ ...IDLE, waitMs: 9000 }), 1);
  assert.equal(pressureOf({ ...IDLE, deadlineMs: 0 }), 1);
});
