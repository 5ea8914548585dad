/**
 * Guards against a caller being told that its request has not run although it has, and against requests that run
 * more often than their route allows, whatever the order in which attempts fail.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  okResponse,
  responseHead,
  type RawRequest,
  type RawResponder,
} from '../../../fakes/raw-endpoint/index.js';
import type { Route } from '../../../src/core/published/index.js';
import { config, route, withRawEndpoints } from '../harness.js';

const ENDPOINTS = 3;
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);
const EMPTY = 'Content-Length: 0';

/** What an endpoint does with one request. */
interface Behaviour {
  readonly runs: boolean;
  readonly respond: (req: RawRequest) => void;
}

const respondWith =
  (status: string, ...headers: string[]) =>
  (req: RawRequest): void =>
    void req.socket.write(responseHead(req, status, [...headers, EMPTY]));

/** A surplus response of an earlier request, then the own one. */
const respondAfterSurplus =
  (status: string, ...headers: string[]) =>
  (req: RawRequest): void => {
    const earlier = { ...req, headers: { ...req.headers, 'x-request-id': 'earlier' } };
    req.socket.write(responseHead(earlier, status, [...headers, EMPTY]) + okResponse(req, 'own'));
  };

const BEHAVIOURS = {
  ok: { runs: true, respond: (req) => void req.socket.write(okResponse(req, 'own')) },
  full: { runs: false, respond: respondWith('503 Full', 'X-Not-Executed: 1') },
  limited: { runs: false, respond: respondWith('429 Too Many', 'X-Not-Executed: 1') },
  misdirected: { runs: false, respond: respondWith('421 Misdirected') },
  failed: { runs: true, respond: respondWith('500 Failed') },
  unproved: { runs: true, respond: respondWith('503 Failed') },
  reset: { runs: true, respond: (req) => void req.socket.resetAndDestroy() },
  closed: { runs: true, respond: (req) => void req.socket.end() },
  garbled: { runs: true, respond: (req) => void req.socket.write('no response\r\n\r\n') },
  surplusFull: { runs: true, respond: respondAfterSurplus('503 Full', 'X-Not-Executed: 1') },
  surplusOk: { runs: true, respond: respondAfterSurplus('200 OK') },
  silent: { runs: true, respond: () => undefined },
} satisfies Record<string, Behaviour>;

type Name = keyof typeof BEHAVIOURS;

interface Play {
  readonly kind: Route['kind'];
  readonly maxAttempts: number;
  /** Behaviours of the endpoints, by the order of arrivals. */
  readonly behaviours: readonly Name[];
}

const names = Object.keys(BEHAVIOURS) as Name[];
const plays: fc.Arbitrary<Play> = fc.record({
  kind: fc.constantFrom<Route['kind']>('once', 'repeatable'),
  maxAttempts: fc.integer({ min: 1, max: 3 }),
  behaviours: fc.array(fc.constantFrom(...names), { minLength: 4, maxLength: 8 }),
});

/** Sends one request after the other, and checks each response against what its endpoints did. */
async function checkPlay({ kind, maxAttempts, behaviours }: Play): Promise<void> {
  const left = [...behaviours];
  const runs = new Map<string, number>();
  const arrivals = new Map<string, number>();
  const add = (counts: Map<string, number>, id: string): void =>
    void counts.set(id, (counts.get(id) ?? 0) + 1);
  const responder: RawResponder = (req) => {
    const id = req.headers['x-request-id'] ?? '';
    const behaviour = BEHAVIOURS[left.shift() ?? 'ok'];
    add(arrivals, id);
    if (behaviour.runs) add(runs, id);
    behaviour.respond(req);
  };
  const timeoutMs = behaviours.includes('silent') ? 300 : 2000;
  const cfg = config([route({ kind, maxAttempts, timeoutMs, targetMs: 60 })]);
  const checked: { readonly id: string; readonly status: number }[] = [];
  const responders = Array.from({ length: ENDPOINTS }, () => responder);
  await withRawEndpoints(responders, cfg, async ({ entry }) => {
    for (let i = 0; left.length > 0 && i < behaviours.length; i += 1) {
      const id = `q-${i}`;
      const { status, body } = await entry.send(id);
      checked.push({ id, status });
      if (status === 200) assert.equal(body, 'own');
    }
  });
  for (const { id, status } of checked) {
    const ran = runs.get(id) ?? 0;
    if (NOT_RUN_STATUSES.has(status)) assert.equal(ran, 0, `${id} got ${status} and ran`);
    if (kind === 'once') assert.ok(ran <= 1, `${id} ran ${ran} times`);
    assert.ok((arrivals.get(id) ?? 0) <= maxAttempts, `${id} was sent too often`);
    if (ran === 0 && (arrivals.get(id) ?? 0) > 0)
      assert.ok(NOT_RUN_STATUSES.has(status), `${id} has not run and got ${status}`);
  }
}

test('a response claims "not run" exactly if no attempt ran the request', async () => {
  await fc.assert(fc.asyncProperty(plays, checkPlay), { seed: 54, numRuns: 80 });
});

for (const name of names)
  test(`a caller is told the truth about a request that an endpoint met with: ${name}`, async () => {
    for (const kind of ['once', 'repeatable'] as const)
      for (const maxAttempts of [1, 2, 3])
        await checkPlay({ kind, maxAttempts, behaviours: [name, name, name, name] });
  });
