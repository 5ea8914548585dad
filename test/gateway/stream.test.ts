import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import fc from 'fast-check';
import {
  answerHead,
  chunk,
  event,
  startRawEndpoint,
  type RawAnswer,
  type RawEndpoint,
  type RawRequest,
} from '../../fakes/raw-endpoint/index.js';
import type { PublishedEndpoint } from '../../src/core/published/index.js';
import { EventSplitter } from '../../src/gateway/events.js';
import type { EngineSight } from '../../src/gateway/group-status.js';
import { config, endpoint, route, startGateway, type GatewayUnderTest } from './harness.js';

const STREAM = route({
  kind: 'stream',
  resumable: true,
  gapMs: 100,
  timeoutMs: 2000,
  maxAttempts: 2,
});

const head = (req: RawRequest): string =>
  answerHead(req, '200 OK', ['Content-Type: text/event-stream', 'Transfer-Encoding: chunked']);

/** Writes events from..to as chunks, then ends as told. */
function stream(from: number, to: number, end: (req: RawRequest) => void): RawAnswer {
  return (req) => {
    req.socket.write(head(req));
    for (let id = from; id <= to; id += 1) req.socket.write(chunk(event(id)));
    setTimeout(() => end(req), 10);
  };
}

const whole = (req: RawRequest): void => void req.socket.write(chunk(''));
const reset = (req: RawRequest): void => void req.socket.resetAndDestroy();

async function withStreams(
  answers: readonly RawAnswer[],
  run: (under: GatewayUnderTest, endpoints: readonly RawEndpoint[]) => Promise<void>,
  resumable = true,
): Promise<void> {
  const endpoints = await Promise.all(answers.map((answer) => startRawEndpoint(answer)));
  const under = await startGateway(
    config([{ ...STREAM, resumable }]),
    endpoints.map((raw, i) => endpoint(`e-${i}`, raw.address)),
  );
  try {
    await run(under, endpoints);
  } finally {
    under.close();
    for (const raw of endpoints) raw.close();
  }
}

const events = (from: number, to: number): string =>
  Array.from({ length: to - from + 1 }, (_, i) => event(from + i)).join('');

test('events are split alike however the bytes are cut', () => {
  const text = Buffer.from(events(1, 6));
  fc.assert(
    fc.property(fc.array(fc.integer({ min: 1, max: 40 }), { minLength: 1 }), (cuts) => {
      const splitter = new EventSplitter();
      const ids: (number | undefined)[] = [];
      for (let at = 0, n = 0; at < text.length; n += 1) {
        const size = cuts[n % cuts.length] ?? 1;
        ids.push(...splitter.push(text.subarray(at, at + size)).map((e) => e.id));
        at += size;
      }
      assert.deepEqual(ids, [1, 2, 3, 4, 5, 6]);
      assert.equal(splitter.pendingBytes, 0);
    }),
  );
});

test('each event is passed on as it comes', async () => {
  let sendSecond = (): void => undefined;
  const paced: RawAnswer = (req) => {
    req.socket.write(head(req) + chunk(event(1)));
    sendSecond = () => void req.socket.write(chunk(event(2)) + chunk(''));
  };
  await withStreams([paced], async (under) => {
    // The second event is sent only once the caller has the first: an entry that kept it back would get no other.
    const got = await under.ask('q-1', {
      onBody: (body) => {
        if (body === event(1)) sendSecond();
      },
    });
    assert.deepEqual([got.status, got.body, got.complete], [200, events(1, 2), true]);
    const line = under.lines.find((l) => l.fields['request'] === 'q-1');
    assert.equal(typeof line?.fields['firstMs'], 'number');
  });
});

test('a stream that breaks goes on at another endpoint inside the same answer', async () => {
  const breaks: readonly ((req: RawRequest) => void)[] = [
    reset,
    (req) => void req.socket.end(),
    (req) => {
      req.socket.write(chunk('id: 4\ndata: hal'));
      setTimeout(() => reset(req), 10);
    },
    (req) => void req.socket.write(chunk(event(7))),
    (req) => void req.socket.write(chunk(event(3))),
    (req) => void req.socket.write(chunk('data: no id\n\n')),
    (req) => void req.socket.write(chunk('id: 4\ndata: hal') + chunk('')),
  ];
  for (const end of breaks) {
    let first = true;
    const answer: RawAnswer = (req) => {
      if (first) {
        first = false;
        return stream(1, 3, end)(req);
      }
      assert.equal(req.headers['last-event-id'], '3');
      stream(4, 5, whole)(req);
    };
    await withStreams([answer, answer], async (under, endpoints) => {
      const got = await under.ask('q-1');
      assert.deepEqual([got.status, got.body, got.complete], [200, events(1, 5), true]);
      assert.ok(endpoints.every((e) => e.requests.length === 1));
    });
  }
});

test('a stream that cannot go on never looks whole', async () => {
  await withStreams([stream(1, 3, reset)], async (under) => {
    const got = await under.ask('q-1');
    assert.deepEqual([got.body, got.complete], [events(1, 3), false]);
  });
  await withStreams(
    [stream(1, 3, reset), stream(1, 3, reset)],
    async (under, endpoints) => {
      const got = await under.ask('q-1');
      assert.equal(got.complete, false);
      assert.equal(
        endpoints.reduce((n, e) => n + e.requests.length, 0),
        1,
      );
    },
    false,
  );
});

test('a caller takes its stream up behind the last event it has', async () => {
  const answer: RawAnswer = (req) => {
    assert.equal(req.headers['last-event-id'], '12');
    stream(13, 14, whole)(req);
  };
  await withStreams([answer], async (under) => {
    const got = await under.ask('q-1', { headers: { 'last-event-id': '12' } });
    assert.equal(got.body, events(13, 14));
  });
});

test('a stream that falls silent is taken up elsewhere', async () => {
  let first = true;
  const answer: RawAnswer = (req) => {
    if (!first) return stream(3, 4, whole)(req);
    first = false;
    stream(1, 2, () => undefined)(req);
  };
  await withStreams([answer, answer], async (under) => {
    const got = await under.ask('q-1');
    assert.deepEqual([got.body, got.complete], [events(1, 4), true]);
  });
});

test('a stream is cut at the time of its route', async () => {
  const endless: RawAnswer = (req) => {
    req.socket.write(head(req));
    let id = 0;
    const timer = setInterval(() => req.socket.write(chunk(event((id += 1)))), 100);
    req.socket.on('close', () => clearInterval(timer));
  };
  await withStreams([endless], async (under) => {
    const got = await under.ask('q-1');
    assert.equal(got.complete, false);
    assert.ok(got.tookMs < 2100, `${got.tookMs} ms`);
  });
});

test('a caller that leaves a stream ends its run', async () => {
  let closed = false;
  const answer: RawAnswer = (req) => {
    req.socket.write(head(req) + chunk(event(1)));
    req.socket.on('close', () => (closed = true));
  };
  await withStreams([answer], async (under) => {
    await under.ask('q-1', { leaveAfterMs: 80 });
    await wait(80);
    assert.ok(closed);
    assert.equal(under.gateway.running(), 0);
  });
});

test('a stream on an endpoint that turns slow stays there while all others rest', async () => {
  let pace = 1;
  const slow = await startRawEndpoint((req) => {
    req.socket.write(head(req));
    for (let id = 1; id <= 6; id += 1)
      setTimeout(() => req.socket.write(chunk(event(id)) + (id === 6 ? chunk('') : '')), 30 * id);
  });
  const resting = await startRawEndpoint((req) =>
    req.socket.write(
      answerHead(req, '503 Full', ['Retry-After: 5', 'X-Not-Executed: 1', 'Content-Length: 0']),
    ),
  );
  const listed = [endpoint('e-0', slow.address), endpoint('e-1', resting.address)];
  const sightOf = (e: PublishedEndpoint): EngineSight => ({
    load: 0,
    pace: e.id === 'e-0' ? pace : 1,
  });
  const under = await startGateway(config([STREAM]), listed, { sightOf });
  try {
    while (resting.requests.length === 0) await under.ask(`q-${slow.requests.length}`);
    const got = under.ask('q-slow');
    setTimeout(() => (pace = 3), 75);
    const { body, complete } = await got;
    assert.equal(body, events(1, 6));
    assert.ok(complete);
  } finally {
    under.close();
    slow.close();
    resting.close();
  }
});
