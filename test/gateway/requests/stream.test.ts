import assert from 'node:assert/strict';
import { connect, type AddressInfo } from 'node:net';
import { test } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import fc from 'fast-check';
import {
  responseHead,
  chunk,
  event,
  startRawEndpoint,
  type RawResponder,
  type RawEndpoint,
  type RawRequest,
} from '../../../fakes/raw-endpoint/index.js';
import type { PublishedEndpoint } from '../../../src/core/published/index.js';
import { EventSplitter } from '../../../src/gateway/requests/event-splitter.js';
import type { EngineStatus } from '../../../src/gateway/groups/group-status.js';
import {
  config,
  endpoint,
  route,
  startGateway,
  withRawEndpoints,
  type TestGateway,
} from '../harness.js';

const STREAM_ROUTE = route({
  kind: 'stream',
  resumable: true,
  gapMs: 100,
  timeoutMs: 2000,
  maxAttempts: 2,
});

const head = (req: RawRequest): string =>
  responseHead(req, '200 OK', ['Content-Type: text/event-stream', 'Transfer-Encoding: chunked']);

/** Sends the events `from` to `to` as chunks, then calls `end`. */
function sendEvents(from: number, to: number, end: (req: RawRequest) => void): RawResponder {
  return (req) => {
    req.socket.write(head(req));
    for (let id = from; id <= to; id += 1) req.socket.write(chunk(event(id)));
    setTimeout(() => end(req), 10);
  };
}

const endStream = (req: RawRequest): void => void req.socket.write(chunk(''));
const resetConnection = (req: RawRequest): void => void req.socket.resetAndDestroy();

async function withStreamEndpoints(
  answers: readonly RawResponder[],
  run: (testGateway: TestGateway, endpoints: readonly RawEndpoint[]) => Promise<void>,
  resumable = true,
  maxAttempts = STREAM_ROUTE.maxAttempts,
): Promise<void> {
  const cfg = config([{ ...STREAM_ROUTE, resumable, maxAttempts }]);
  await withRawEndpoints(answers, cfg, ({ entry, raws }) => run(entry, raws));
}

const events = (from: number, to: number): string =>
  Array.from({ length: to - from + 1 }, (_, i) => event(from + i)).join('');

test('events are split correctly whatever the chunk boundaries', () => {
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

test('each event is forwarded immediately', async () => {
  let sendSecond = (): void => undefined;
  const pacedAnswer: RawResponder = (req) => {
    req.socket.write(head(req) + chunk(event(1)));
    sendSecond = () => void req.socket.write(chunk(event(2)) + chunk(''));
  };
  await withStreamEndpoints([pacedAnswer], async (testGateway) => {
    // The second event is sent only after the caller has received the first; buffering would hang.
    const response = await testGateway.send('q-1', {
      onBody: (body) => {
        if (body === event(1)) sendSecond();
      },
    });
    assert.deepEqual(
      [response.status, response.body, response.complete],
      [200, events(1, 2), true],
    );
    const line = testGateway.logLines.find((l) => l.fields['request'] === 'q-1');
    assert.equal(typeof line?.fields['firstMs'], 'number');
  });
});

test('a broken stream is resumed on another endpoint within the same response', async () => {
  const failures: readonly ((req: RawRequest) => void)[] = [
    resetConnection,
    (req) => void req.socket.end(),
    (req) => {
      req.socket.write(chunk('id: 4\ndata: hal'));
      setTimeout(() => resetConnection(req), 10);
    },
    (req) => void req.socket.write(chunk(event(7))),
    (req) => void req.socket.write(chunk(event(3))),
    (req) => void req.socket.write(chunk('data: no id\n\n')),
    (req) => void req.socket.write(chunk('id: 4\ndata: hal') + chunk('')),
  ];
  for (const end of failures) {
    let first = true;
    const answer: RawResponder = (req) => {
      if (first) {
        first = false;
        return sendEvents(1, 3, end)(req);
      }
      assert.equal(req.headers['last-event-id'], '3');
      sendEvents(4, 5, endStream)(req);
    };
    await withStreamEndpoints([answer, answer], async (testGateway, endpoints) => {
      const response = await testGateway.send('q-1');
      assert.deepEqual(
        [response.status, response.body, response.complete],
        [200, events(1, 5), true],
      );
      assert.ok(endpoints.every((e) => e.requests.length === 1));
    });
  }
});

test('a stream that cannot be resumed never looks complete', async () => {
  await withStreamEndpoints([sendEvents(1, 3, resetConnection)], async (testGateway) => {
    const response = await testGateway.send('q-1');
    assert.deepEqual([response.body, response.complete], [events(1, 3), false]);
  });
  await withStreamEndpoints(
    [sendEvents(1, 3, resetConnection), sendEvents(1, 3, resetConnection)],
    async (testGateway, endpoints) => {
      const response = await testGateway.send('q-1');
      assert.equal(response.complete, false);
      assert.equal(
        endpoints.reduce((n, e) => n + e.requests.length, 0),
        1,
      );
    },
    false,
  );
});

/**
 * A resumed stream has sent its head to the caller. Writing the head of an endpoint's error behind it threw, and
 * the stream was lost although a third endpoint could go on with it.
 */
for (const status of ['500 Failed', '503 Failed', '404 Not Found'])
  test(`a resumed stream outlasts an endpoint that answers ${status}`, async () => {
    const failing: RawResponder = (req) =>
      void req.socket.write(responseHead(req, status, ['Content-Length: 0']));
    let arrivals = 0;
    const answer: RawResponder = (req) => {
      arrivals += 1;
      if (arrivals === 1) return sendEvents(1, 3, resetConnection)(req);
      if (arrivals === 2) return failing(req);
      sendEvents(4, 5, endStream)(req);
    };
    await withStreamEndpoints(
      [answer, answer, answer],
      async (testGateway) => {
        const { body, complete } = await testGateway.send('q-1');
        assert.deepEqual([body, complete], [events(1, 5), true]);
      },
      true,
      3,
    );
    arrivals = 0;
    await withStreamEndpoints([answer, answer], async (testGateway) => {
      const { body, complete } = await testGateway.send('q-1');
      assert.deepEqual([body, complete], [events(1, 3), false]);
      assert.ok(!testGateway.logLines.some(({ event }) => event === 'caller.failed'));
    });
  });

test('a caller resumes its stream after the last event that it received', async () => {
  const answer: RawResponder = (req) => {
    assert.equal(req.headers['last-event-id'], '12');
    sendEvents(13, 14, endStream)(req);
  };
  await withStreamEndpoints([answer], async (testGateway) => {
    const response = await testGateway.send('q-1', { headers: { 'last-event-id': '12' } });
    assert.equal(response.body, events(13, 14));
  });
});

test('a stalled stream is resumed on another endpoint', async () => {
  let first = true;
  const answer: RawResponder = (req) => {
    if (!first) return sendEvents(3, 4, endStream)(req);
    first = false;
    sendEvents(1, 2, () => undefined)(req);
  };
  await withStreamEndpoints([answer, answer], async (testGateway) => {
    const response = await testGateway.send('q-1');
    assert.deepEqual([response.body, response.complete], [events(1, 4), true]);
  });
});

test('a stream is cut at the timeout of its route', async () => {
  const endless: RawResponder = (req) => {
    req.socket.write(head(req));
    let id = 0;
    const timer = setInterval(() => req.socket.write(chunk(event((id += 1)))), 100);
    req.socket.on('close', () => clearInterval(timer));
  };
  await withStreamEndpoints([endless], async (testGateway) => {
    const response = await testGateway.send('q-1');
    assert.equal(response.complete, false);
    assert.ok(response.tookMs < 2100, `${response.tookMs} ms`);
  });
});

test('a stream is aborted at the endpoint when its caller disconnects', async () => {
  let closed = false;
  const answer: RawResponder = (req) => {
    req.socket.write(head(req) + chunk(event(1)));
    req.socket.on('close', () => (closed = true));
  };
  await withStreamEndpoints([answer], async (testGateway) => {
    await testGateway.send('q-1', { disconnectAfterMs: 80 });
    await wait(80);
    assert.ok(closed);
    assert.equal(testGateway.gateway.running(), 0);
  });
});

test('a stream stays on a slow endpoint while all others are backing off', async () => {
  let pace = 1;
  const slow = await startRawEndpoint((req) => {
    req.socket.write(head(req));
    for (let id = 1; id <= 6; id += 1)
      setTimeout(() => req.socket.write(chunk(event(id)) + (id === 6 ? chunk('') : '')), 30 * id);
  });
  const backingOff = await startRawEndpoint((req) =>
    req.socket.write(
      responseHead(req, '503 Full', ['Retry-After: 5', 'X-Not-Executed: 1', 'Content-Length: 0']),
    ),
  );
  const listed = [endpoint('e-0', slow.address), endpoint('e-1', backingOff.address)];
  const statusOf = (e: PublishedEndpoint): EngineStatus => ({
    load: 0,
    pace: e.id === 'e-0' ? pace : 1,
    meanLoad: 0,
    countedAtMs: 0,
  });
  const testGateway = await startGateway(config([STREAM_ROUTE]), listed, { statusOf });
  try {
    while (backingOff.requests.length === 0) await testGateway.send(`q-${slow.requests.length}`);
    const response = testGateway.send('q-slow');
    setTimeout(() => (pace = 3), 75);
    const { body, complete } = await response;
    assert.equal(body, events(1, 6));
    assert.ok(complete);
  } finally {
    testGateway.close();
    slow.close();
    backingOff.close();
  }
});

/** Without chunks, an HTTP/1.0 caller takes the end of the connection for the end of the response. */
test('a stream that is cut does not look complete to an HTTP/1.0 caller', async () => {
  for (const end of [endStream, resetConnection])
    await withStreamEndpoints([sendEvents(1, 3, end)], async (testGateway) => {
      const { port } = testGateway.gateway.server.address() as AddressInfo;
      const caller = connect(port, '127.0.0.1');
      let text = '';
      let isReset = false;
      caller.on('data', (bytes) => (text += bytes.toString('latin1')));
      caller.on('error', () => (isReset = true));
      const headers = 'Host: a.example\r\nX-Request-Id: q-1\r\nAuthorization: Bearer key-1';
      caller.write(`POST /x/1 HTTP/1.0\r\n${headers}\r\n\r\n`);
      await new Promise((resolve) => caller.on('close', resolve));
      assert.ok(text.endsWith(event(3)));
      assert.equal(isReset, end === resetConnection);
    });
});
