import assert from 'node:assert/strict';
import { test } from 'node:test';
import { bodyDigest, checkDocument } from '../../../src/core/config-feed/index.js';
import {
  changedParts,
  confirmPlan,
  planEvent,
  renderPlan,
  type ConfigurationDocument,
  type EventIntent,
} from '../../../src/core/events/index.js';
import { sampleDocument } from '../../fixtures/configuration.js';

const NOW = Date.parse('2027-01-31T03:00:00Z');

const INTENT: EventIntent = {
  id: 'morning-bank',
  start: '2027-01-31T05:30:00+02:00',
  durationMinutes: 90,
  organisations: ['rwandair'],
  surge: [{ target: 'passenger-summary', requestsPerSecond: 20, tokensPerRequest: 60 }],
  hotExperts: [{ group: 'kgl-a-group', expert: 1, factor: 3 }],
  sacrifice: ['rwandair'],
};

function detailOf(intent: object): string {
  const result = planEvent(intent, sampleDocument(4), NOW);
  assert.ok(result.err);
  return result.val.detail;
}

test('a plan compares capacity with the surge and lists what is sacrificed', () => {
  const plan = planEvent(structuredClone(INTENT), sampleDocument(4), NOW).unwrap();
  assert.deepEqual(plan.targets[0], {
    target: 'passenger-summary',
    unit: 'tokens/s',
    endpoints: 1,
    capacity: 1000,
    surge: 1200,
    shortfall: 200,
  });
  assert.equal(plan.sacrifice[0]?.shortfallLeft, 0);
  assert.equal(plan.preloads[0]?.bytes, 1);
  assert.equal(plan.preloads[0]?.inTime, true);
  const text = renderPlan(plan);
  assert.match(text, /SHORT by 200/);
  assert.match(text, /Nothing has changed/);
});

test('all errors of an intent are reported together, each with a remedy', () => {
  const detail = detailOf({
    ...INTENT,
    start: '2020-01-01T00:00:00Z',
    organisations: ['rwandir'],
    surge: [{ target: 'nothing-such', requestsPerSecond: 1, tokensPerRequest: 1 }],
    hotExperts: [{ group: 'kgl-a-group', expert: 9, factor: 2 }],
  });
  assert.match(detail, /has passed; name a time to come/);
  assert.match(detail, /organisation "rwandir" is not configured; did you mean "rwandair"\?/);
  assert.match(detail, /model or service "nothing-such" is not configured/);
  assert.match(detail, /expert 9 of group "kgl-a-group" does not exist; use 0 to 1/);
  assert.match(detailOf({ ...INTENT, surge: [] }), /\/surge/);
  assert.match(
    detailOf({
      ...INTENT,
      surge: [{ target: 'passenger-summary', requestsPerSecond: -4, tokensPerRequest: 1 }],
    }),
    /requestsPerSecond: value -4/,
  );
});

test('an event that overlaps another of the same organisations is refused, a later one is not', () => {
  const doc = sampleDocument(4);
  const plan = planEvent(structuredClone(INTENT), doc, NOW).unwrap();
  const body = { ...doc.body, events: [{ ...plan.event, id: 'other' }] };
  const withOtherEvent: ConfigurationDocument = { ...doc, body, digest: bodyDigest(body) };
  const overlapping = planEvent(structuredClone(INTENT), withOtherEvent, NOW);
  assert.ok(overlapping.err);
  assert.match(overlapping.val.detail, /event "other" runs at the same time/);
  assert.ok(
    planEvent(
      { ...structuredClone(INTENT), start: '2027-02-01T05:30:00+02:00' },
      withOtherEvent,
      NOW,
    ).ok,
  );
});

test('a plan for a surge beyond all capacity states the remaining shortfall', () => {
  const huge = {
    ...structuredClone(INTENT),
    surge: [{ target: 'passenger-summary', requestsPerSecond: 1e9, tokensPerRequest: 1e3 }],
    sacrifice: [],
  };
  const plan = planEvent(huge, sampleDocument(4), NOW).unwrap();
  assert.equal(plan.shortfallLeft, 1e12 - 1000);
});

test('a confirmed plan is a document that every daemon accepts', () => {
  const doc = sampleDocument(4);
  const plan = planEvent(structuredClone(INTENT), doc, NOW).unwrap();
  const publication = confirmPlan(plan, doc, 4, NOW).unwrap();
  assert.deepEqual(changedParts(doc.body, publication.body), ['events']);
  assert.ok(checkDocument({ version: 5, ...structuredClone(publication) }).ok);
});

test('a plan based on an old version is refused, and so is one whose event has started', () => {
  const plan = planEvent(structuredClone(INTENT), sampleDocument(4), NOW).unwrap();
  const stale = confirmPlan(plan, sampleDocument(5), 5, NOW);
  assert.ok(stale.err);
  assert.equal(stale.val.reason, 'plan-stale');
  assert.ok(confirmPlan(plan, sampleDocument(4), 4, plan.event.startMs).err);
});

test('after a refused version, basedOn is the newest version and the body comes from the one in force', () => {
  const doc = sampleDocument(4);
  const plan = planEvent(structuredClone(INTENT), doc, NOW).unwrap();
  assert.equal(confirmPlan(plan, doc, 6, NOW).unwrap().basedOn, 6);
});
