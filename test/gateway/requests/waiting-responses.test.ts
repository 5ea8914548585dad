/**
 * Guards against memory that is never freed: the body of a request that was sent before the response to the one
 * before it stayed reserved when its caller left, as its response emitted no `close`.
 */
import assert from 'node:assert/strict';
import { connect, type AddressInfo } from 'node:net';
import { test } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import fc from 'fast-check';
import { okResponse, startRawEndpoint } from '../../../fakes/raw-endpoint/index.js';
import { config, endpoint, route, startGateway, type TestGateway } from '../harness.js';

const BODY = 'x'.repeat(2000);
const SETTLED_MS = 1500;

const requestText = (id: string): string =>
  [
    'POST /x/1 HTTP/1.1',
    'Host: a.example',
    `X-Request-Id: ${id}`,
    'X-Deadline-Ms: 400',
    'Authorization: Bearer key-1',
    `Content-Length: ${BODY.length}`,
    '',
    BODY,
  ].join('\r\n');

/** One caller: how many requests it sends at once, and when it leaves, ms. */
interface Caller {
  readonly requests: number;
  readonly leavesAfterMs: number;
}

const callers = fc.array(
  fc.record({
    requests: fc.integer({ min: 1, max: 4 }),
    leavesAfterMs: fc.constantFrom(0, 5, 20, 40, 90, 200),
  }),
  { minLength: 1, maxLength: 6 },
);

function sendAndLeave({ gateway }: TestGateway, caller: Caller, id: string): Promise<void> {
  const { port } = gateway.server.address() as AddressInfo;
  const socket = connect(port, '127.0.0.1');
  socket.on('error', () => undefined);
  for (let i = 0; i < caller.requests; i += 1) socket.write(requestText(`${id}-${i}`));
  setTimeout(() => socket.destroy(), caller.leavesAfterMs);
  return new Promise((resolve) => socket.on('close', () => resolve()));
}

async function settle({ ctx, gateway }: TestGateway): Promise<void> {
  const untilMs = performance.now() + SETTLED_MS;
  while (performance.now() < untilMs && (ctx.memory.usedBytes > 0 || gateway.running() > 0))
    await wait(10);
}

test('no memory stays reserved, whatever callers have sent when they leave', async () => {
  let n = 0;
  await fc.assert(
    fc.asyncProperty(callers, fc.array(fc.nat(60), { minLength: 1 }), async (plays, delays) => {
      const raw = await startRawEndpoint((req) => {
        const delayMs = delays[(n += 1) % delays.length] ?? 0;
        setTimeout(() => req.socket.write(okResponse(req, 'own')), delayMs);
      });
      const entry = await startGateway(config([route({ kind: 'once' })]), [
        endpoint('e-1', raw.address),
      ]);
      await Promise.all(plays.map((play, i) => sendAndLeave(entry, play, `q-${i}`)));
      await settle(entry);
      const left = [entry.ctx.memory.usedBytes, entry.gateway.running()];
      entry.close();
      raw.close();
      assert.deepEqual(left, [0, 0]);
    }),
    { seed: 55, numRuns: 25 },
  );
});
