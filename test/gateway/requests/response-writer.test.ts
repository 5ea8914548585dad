import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { event } from '../../../fakes/raw-endpoint/index.js';
import { budgetLimits, MemoryBudget } from '../../../src/core/buffering/index.js';
import type { AttemptResponse } from '../../../src/gateway/requests/attempt.js';
import {
  relayStream,
  type StreamOutcome,
  type StreamProgress,
} from '../../../src/gateway/requests/relay-stream.js';
import {
  ResponseWriter,
  type ResponseSink,
} from '../../../src/gateway/requests/response-writer.js';

/** A connection that takes bytes only when told to, like that of a slow caller. */
class SlowConnection {
  readonly sent: Buffer[] = [];
  isEnded = false;
  private readonly unsent: { readonly bytes: Buffer; readonly done: () => void }[] = [];

  readonly sink = {
    destroyed: false,
    headersSent: true,
    chunkedEncoding: true,
    socket: null,
    writeHead: () => undefined,
    write: (bytes: Buffer, done: () => void) => {
      assert.ok(!this.isEnded, 'written after the end');
      this.unsent.push({ bytes, done });
      return false;
    },
    end: () => {
      assert.ok(!this.isEnded, 'ended twice');
      this.isEnded = true;
    },
    destroy: () => (this.sink.destroyed = true),
    once: () => undefined,
    prependOnceListener: () => undefined,
  };

  /** Sends the oldest unsent write; false if there is none. */
  drain(): boolean {
    const next = this.unsent.shift();
    if (!next) return false;
    this.sent.push(next.bytes);
    next.done();
    return true;
  }

  get unsentBytes(): number {
    return this.unsent.reduce((sum, { bytes }) => sum + bytes.length, 0);
  }
}

function createWriter(memoryBytes = 256e6) {
  const connection = new SlowConnection();
  const clock = { nowMs: 0 };
  const budget = new MemoryBudget(budgetLimits(memoryBytes), () => clock.nowMs);
  const res = connection.sink as unknown as ResponseSink;
  const writer = new ResponseWriter({ res, budget, nowMs: () => clock.nowMs });
  return { connection, clock, budget, writer };
}

const events = (from: number, to: number): string =>
  Array.from({ length: to - from + 1 }, (_, i) => event(from + i)).join('');

const step = fc.oneof(
  fc.record({ kind: fc.constant('write' as const), bytes: fc.integer({ min: 1, max: 6000 }) }),
  fc.record({ kind: fc.constant('drain' as const), bytes: fc.constant(0) }),
);

test('every byte is sent once and in order, whatever the order of writes and drains', () => {
  fc.assert(
    fc.property(fc.array(step, { maxLength: 80 }), (steps) => {
      const { connection, budget, writer, clock } = createWriter();
      const written: Buffer[] = [];
      for (const [i, { kind, bytes }] of steps.entries()) {
        clock.nowMs += 1;
        if (kind === 'drain') connection.drain();
        else {
          const part = Buffer.alloc(bytes, i % 251);
          written.push(part);
          writer.write(part);
        }
        const sentBytes = connection.sent.reduce((sum, b) => sum + b.length, 0);
        const writtenBytes = written.reduce((sum, b) => sum + b.length, 0);
        assert.equal(writer.heldBytes, writtenBytes - sentBytes);
        assert.equal(budget.usedBytes, writer.heldBytes);
      }
      writer.end();
      while (connection.drain());
      assert.ok(connection.isEnded);
      assert.ok(Buffer.concat(connection.sent).equals(Buffer.concat(written)));
      assert.equal(budget.usedBytes, 0);
    }),
  );
});

/** Relays the part of a stream that one attempt sends. */
async function relayAttempt(
  writer: ResponseWriter,
  progress: StreamProgress,
  body: () => AsyncGenerator<Buffer>,
): Promise<StreamOutcome> {
  const response = {
    head: { status: 200, headers: {} },
    body: body(),
    close: () => undefined,
    noteSilence: () => undefined,
  } as unknown as AttemptResponse;
  return relayStream(
    {
      writer,
      progress,
      nowMs: () => 0,
      idleTimeoutMs: 1000,
      remainingMs: () => 1000,
      shouldSwitchEndpoint: () => false,
      mayEnd: () => true,
      onFirstEvent: () => undefined,
      onPause: () => undefined,
    },
    response,
  );
}

test('a resumed stream has each event once and in order, however slowly its caller reads', async () => {
  const attempts = fc.array(
    fc.record({ bytes: fc.nat(120), chunkBytes: fc.integer({ min: 1, max: 50 }) }),
    { maxLength: 4 },
  );
  await fc.assert(
    fc.asyncProperty(attempts, fc.array(fc.nat(2), { minLength: 1 }), async (broken, drains) => {
      const { connection, writer } = createWriter();
      const progress = { lastEventId: 0, events: 0, lastEventAtMs: 0, longestPauseMs: 0 };
      let n = 0;
      const drainSome = (): void => {
        for (let left = drains[(n += 1) % drains.length] ?? 0; left > 0; left -= 1)
          connection.drain();
      };
      const send = async function* (sent: number, chunkBytes: number): AsyncGenerator<Buffer> {
        const rest = Buffer.from(events(progress.lastEventId + 1, 12));
        for (let at = 0; at < Math.min(sent, rest.length); at += chunkBytes) {
          yield rest.subarray(at, Math.min(at + chunkBytes, sent));
          drainSome();
        }
        await Promise.resolve();
        if (sent < rest.length) throw new Error('reset');
      };
      let isWhole = false;
      for (const { bytes, chunkBytes } of [...broken, { bytes: Infinity, chunkBytes: 33 }]) {
        if (isWhole) break;
        const end = await relayAttempt(writer, progress, () => send(bytes, chunkBytes));
        isWhole = end.kind === 'whole';
      }
      assert.ok(isWhole);
      writer.end();
      while (connection.drain());
      assert.equal(Buffer.concat(connection.sent).toString(), events(1, 12));
    }),
  );
});

test('bytes for a caller that keeps up are written at once, without a copy', () => {
  const { connection, writer } = createWriter();
  const parts = [Buffer.from('id: 1\n\n'), Buffer.from('id: 2\n\n')];
  for (const part of parts) {
    writer.write(part);
    assert.equal(connection.unsentBytes, part.length);
    connection.drain();
  }
  assert.deepEqual(
    connection.sent.map((sent, i) => sent === parts[i]),
    [true, true],
  );
});

test('the age of unread bytes is that of the oldest one that the connection has not taken', () => {
  const { connection, writer, clock } = createWriter();
  const oldestMs = (): number | undefined => writer.describeUnread()?.oldestMs;
  writer.write(Buffer.alloc(5000));
  clock.nowMs = 600;
  writer.write(Buffer.alloc(5000));
  clock.nowMs = 2000;
  assert.equal(oldestMs(), 2000);
  connection.drain();
  assert.equal(oldestMs(), 1400);
  connection.drain();
  assert.equal(oldestMs(), undefined);
});

test('a caller that falls behind within a stream is cut off at the limit of one response', () => {
  const { connection, writer, budget } = createWriter(20_000);
  while (!writer.ended) writer.write(Buffer.alloc(100));
  assert.equal(writer.ended.reason, 'response-limit');
  assert.ok(connection.sink.destroyed);
  assert.equal(budget.usedBytes, 0);
  writer.write(Buffer.alloc(100));
  assert.equal(budget.usedBytes, 0);
});
