/** Guards against a request being sent, or said not to have run, wrongly after its entry was frozen past the deadline. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import fc from 'fast-check';
import {
  okResponse,
  responseHead,
  type RawRequest,
  type RawResponder,
} from '../../../fakes/raw-endpoint/index.js';
import { asId } from '../../../src/core/ids/index.js';
import type { PublishedConfig } from '../../../src/core/published/index.js';
import { pauseProcess } from '../../fixtures/pause-process.js';
import { config, route, SERVICE, withRawEndpoints } from '../harness.js';

const DEADLINE_MS = 150;
const REQUESTS = 6;
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);
/** Time after the responses in which a request that is sent late would arrive, ms. */
const LATE_MS = 60;

const BEHAVIOURS = {
  ok: { runs: true, respond: (req: RawRequest) => void req.socket.write(okResponse(req, 'own')) },
  slow: {
    runs: true,
    respond: (req: RawRequest) =>
      void setTimeout(() => req.socket.write(okResponse(req, 'own')), 60),
  },
  full: {
    runs: false,
    respond: (req: RawRequest) =>
      void req.socket.write(
        responseHead(req, '503 Full', ['X-Not-Executed: 1', 'Content-Length: 0']),
      ),
  },
  reset: { runs: true, respond: (req: RawRequest) => void req.socket.resetAndDestroy() },
  silent: { runs: true, respond: () => undefined },
};
type Name = keyof typeof BEHAVIOURS;

const plays = fc.record({
  maxConnections: fc.integer({ min: 1, max: 2 }),
  maxAttempts: fc.integer({ min: 1, max: 2 }),
  behaviours: fc.array(fc.constantFrom(...(Object.keys(BEHAVIOURS) as Name[])), {
    minLength: 1,
    maxLength: 6,
  }),
  /** When the process is frozen, and for how long, ms. */
  freezes: fc.array(fc.record({ atMs: fc.nat(140), forMs: fc.constantFrom(40, 120, 200) }), {
    minLength: 1,
    maxLength: 2,
  }),
});

test('no once-only request is sent after its caller was told that it has not run', async () => {
  await fc.assert(
    fc.asyncProperty(plays, async ({ maxConnections, maxAttempts, behaviours, freezes }) => {
      const ran = new Set<string>();
      let arrivals = 0;
      const responder: RawResponder = (req) => {
        const behaviour = BEHAVIOURS[behaviours[arrivals % behaviours.length] ?? 'ok'];
        arrivals += 1;
        if (behaviour.runs) ran.add(req.headers['x-request-id'] ?? '');
        behaviour.respond(req);
      };
      const services: PublishedConfig['services'] = new Map([
        [asId(SERVICE), { id: asId(SERVICE), maxConnections, engine: undefined }],
      ]);
      const once = route({ kind: 'once', maxAttempts, timeoutMs: DEADLINE_MS });
      await withRawEndpoints(
        [responder, responder],
        config([once], { services }),
        async ({ entry }) => {
          const timers = freezes.map(({ atMs, forMs }) =>
            setTimeout(() => pauseProcess(forMs), atMs),
          );
          const sent = Array.from({ length: REQUESTS }, (_, i) => entry.send(`q-${i}`));
          const statuses = (await Promise.all(sent)).map(({ status }) => status);
          timers.forEach(clearTimeout);
          await wait(LATE_MS);
          statuses.forEach((status, i) => {
            if (NOT_RUN_STATUSES.has(status)) assert.ok(!ran.has(`q-${i}`), `q-${i}: ${status}`);
          });
        },
      );
    }),
    { seed: 58, numRuns: 15 },
  );
});
