/** Guards against events without end: each chunk copied all before it, and a trickle counted as progress. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import fc from 'fast-check';
import {
  chunk,
  event,
  responseHead,
  type RawRequest,
  type RawResponder,
} from '../../../fakes/raw-endpoint/index.js';
import { EventSplitter } from '../../../src/gateway/requests/event-splitter.js';
import { config, route, TEST_SETTINGS, withRawEndpoints, type TestGateway } from '../harness.js';

const LONG_MS = 30_000;
/** Bound of the time until an event that is due within 2 s, ms; generous for a busy machine. */
const SOON_MS = 15_000;
const TRICKLE_MS = 50;
/** Longer than the silence after which a stream is resumed elsewhere, ms. */
const PAUSE_MS = 1600;
const LARGE_BYTES = 200_000;
const PIECE = chunk('x'.repeat(8192));
const REQUEST = { headers: { 'x-deadline-ms': String(LONG_MS) } };
const STREAM = { kind: 'stream', gapMs: 100, timeoutMs: LONG_MS, maxAttempts: 2 } as const;

const streamHead = (req: RawRequest): string =>
  responseHead(req, '200 OK', ['Content-Type: text/event-stream', 'Transfer-Encoding: chunked']);

const configOf = (resumable: boolean): ReturnType<typeof config> =>
  config([route({ ...STREAM, resumable })]);

/** Sends one event and the start of another one that never ends. */
const flooding: RawResponder = (req) => {
  const { socket } = req;
  const write = (): void => {
    while (!socket.destroyed && socket.write(PIECE));
  };
  socket.on('drain', write);
  socket.write(streamHead(req) + chunk(event(1)) + chunk('id: 2\ndata: '));
  write();
};

/** Sends one event, and bytes of the next one that complete it only after `ms`. */
const trickling =
  (ms: number): RawResponder =>
  (req) => {
    const { socket } = req;
    socket.write(streamHead(req) + chunk(event(1)) + chunk('id: 2\ndata: '));
    const timer = setInterval(() => socket.write(chunk('x')), TRICKLE_MS);
    socket.on('close', () => clearInterval(timer));
    setTimeout(() => {
      clearInterval(timer);
      socket.write(chunk('\n\n') + chunk(''));
    }, ms).unref();
  };

/** Resumes with the second event, which is the last. */
const resuming: RawResponder = (req) => {
  const next = Number(req.headers['last-event-id'] ?? 0) + 1;
  const events = next === 1 ? event(1) + event(2) : event(2);
  req.socket.write(streamHead(req) + chunk(events) + chunk(''));
};

async function until(isDone: () => boolean): Promise<void> {
  const endMs = Date.now() + SOON_MS;
  while (!isDone()) {
    assert.ok(Date.now() < endMs);
    await wait(5);
  }
}

const misbehaviours = (entry: TestGateway): number =>
  entry.metrics.value('endpoint_misbehaviour_total', { service: 'lookup', kind: 'event-limit' });

test('a stream is ended at the limit of an event without end', async () => {
  await withRawEndpoints([flooding], configOf(false), async ({ entry, raws }) => {
    const { body, complete, tookMs } = await entry.send('q-1', REQUEST);
    assert.deepEqual([body, complete], [event(1), false]);
    assert.ok(tookMs < SOON_MS, `${tookMs} ms`);
    assert.equal(misbehaviours(entry), 1);
    await until(() => raws[0]?.requests.every(({ socket }) => socket.destroyed) ?? false);
  });
});

test('a stream that may be resumed goes on elsewhere after an event without end', async () => {
  await withRawEndpoints([flooding, resuming], configOf(true), async ({ entry }) => {
    for (let i = 1; i <= 2; i += 1) {
      const { body, complete } = await entry.send(`q-${i}`, REQUEST);
      assert.deepEqual([body, complete], [event(1) + event(2), true]);
    }
  });
});

test('a stream that may be resumed leaves an endpoint whose bytes complete no event', async () => {
  const responders = [trickling(LONG_MS), resuming];
  await withRawEndpoints(responders, configOf(true), async ({ entry }) => {
    for (let i = 1; i <= 2; i += 1) {
      const { body, complete, tookMs } = await entry.send(`q-${i}`, REQUEST);
      assert.deepEqual([body, complete], [event(1) + event(2), true]);
      assert.ok(tookMs < SOON_MS, `${tookMs} ms`);
    }
  });
});

test('a stream that may not be resumed outlasts an event that trickles', async () => {
  await withRawEndpoints([trickling(PAUSE_MS), resuming], configOf(false), async ({ entry }) => {
    for (let i = 1; i <= 2; i += 1) {
      const { body, complete } = await entry.send(`q-${i}`, REQUEST);
      assert.ok(body.startsWith(event(1)) && body.endsWith('\n\n') && complete);
    }
  });
});

test('an incomplete event counts against the memory budget until it ends', async () => {
  let finish = (): void => undefined;
  const slow: RawResponder = (req) => {
    req.socket.write(streamHead(req) + chunk(`id: 1\ndata: ${'x'.repeat(LARGE_BYTES)}`));
    finish = () => req.socket.write(chunk('\n\n') + chunk(''));
  };
  await withRawEndpoints([slow], configOf(false), async ({ entry }) => {
    const sent = entry.send('q-1', REQUEST);
    await until(() => entry.ctx.memory.usedBytes >= LARGE_BYTES);
    finish();
    assert.equal((await sent).complete, true);
    await until(() => entry.ctx.memory.usedBytes === 0);
  });
});

test('an incomplete event beyond the memory budget is no fault of its endpoint', async () => {
  const slow: RawResponder = (req) =>
    void req.socket.write(streamHead(req) + chunk(`id: 1\ndata: ${'x'.repeat(LARGE_BYTES)}`));
  const settings = { ...TEST_SETTINGS, memoryBytes: LARGE_BYTES };
  const run = async ({ entry }: { entry: TestGateway }): Promise<void> => {
    const { status, tookMs } = await entry.send('q-1', REQUEST);
    assert.equal(status, 502);
    assert.ok(tookMs < SOON_MS, `${tookMs} ms`);
    assert.equal(
      entry.logLines.some((line) => line.event === 'attempt.fault'),
      false,
    );
  };
  await withRawEndpoints([slow], configOf(false), run, { settings });
});

test('events are the same however many newlines the chunk boundaries fall between', () => {
  const texts = fc.array(fc.constantFrom('\n', '\n', 'a', 'id: 7\n'), { maxLength: 30 });
  fc.assert(
    fc.property(
      texts,
      fc.array(fc.integer({ min: 1, max: 4 }), { minLength: 1 }),
      (parts, cuts) => {
        const text = Buffer.from(parts.join(''));
        const splitter = new EventSplitter();
        const seen: string[] = [];
        for (let at = 0, n = 0; at < text.length; n += 1) {
          const size = cuts[n % cuts.length] ?? 1;
          for (const { bytes } of splitter.split(text.subarray(at, at + size)))
            seen.push(bytes.toString());
          at += size;
        }
        const whole = new EventSplitter();
        const expected = whole.push(text).map(({ bytes }) => bytes.toString());
        assert.deepEqual(seen, expected);
        assert.equal(splitter.pendingBytes, whole.pendingBytes);
      },
    ),
  );
});
