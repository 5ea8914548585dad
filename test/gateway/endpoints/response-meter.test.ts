/** Guards against bytes without end that are no body: they took the memory and the processor of an entry. */
import assert from 'node:assert/strict';
import http from 'node:http';
import type { Socket } from 'node:net';
import { test } from 'node:test';
import {
  chunk,
  okResponse,
  responseHead,
  type RawEndpoint,
  type RawRequest,
  type RawResponder,
} from '../../../fakes/raw-endpoint/index.js';
import { config, route, withRawEndpoints, type TestGateway } from '../harness.js';

const LONG_MS = 30_000;
/** Bound of the time until an event that is due at once, ms; generous for a busy machine. */
const SOON_MS = 10_000;
const PIECE_BYTES = 8192;
const LONG_REQUEST = { headers: { 'x-deadline-ms': String(LONG_MS) } };
const ONCE = route({ kind: 'once', maxAttempts: 1, timeoutMs: LONG_MS, targetMs: LONG_MS });
const CHUNKED = 'Transfer-Encoding: chunked';

const openHead = (req: RawRequest): string => responseHead(req, '200 OK', []).slice(0, -2);
const chunkedHead = (req: RawRequest): string => responseHead(req, '200 OK', [CHUNKED]);

/** A response that goes on without end: its start, and what is repeated behind it. */
interface Endless {
  readonly kind: string;
  readonly start: (req: RawRequest) => string;
  readonly repeated: string;
}

const ENDLESS: Record<string, Endless> = {
  'one header': { kind: 'head-limit', start: (req) => `${openHead(req)}A: `, repeated: 'a' },
  'many headers': { kind: 'head-limit', start: openHead, repeated: 'a: b\r\n' },
  'interim responses': {
    kind: 'interim-limit',
    start: () => '',
    repeated: 'HTTP/1.1 102 Processing\r\n\r\n',
  },
  'a chunk extension': {
    kind: 'framing-limit',
    start: (req) => `${chunkedHead(req)}1;a=`,
    repeated: 'a',
  },
  'chunk extensions': {
    kind: 'framing-limit',
    start: chunkedHead,
    repeated: `1;a=${'a'.repeat(1000)}\r\nx\r\n`,
  },
  trailers: {
    kind: 'framing-limit',
    start: (req) => `${chunkedHead(req)}${chunk('x')}0\r\n`,
    repeated: 'a: b\r\n',
  },
  'a body': { kind: 'body-limit', start: chunkedHead, repeated: chunk('x'.repeat(PIECE_BYTES)) },
  'one trailer': {
    kind: 'framing-limit',
    start: (req) => `${chunkedHead(req)}${chunk('x')}0\r\nA: `,
    repeated: 'a',
  },
};

function respondEndlessly({ start, repeated }: Endless): RawResponder {
  const piece = repeated.repeat(Math.ceil(PIECE_BYTES / repeated.length));
  return (req) => {
    const { socket } = req;
    const write = (): void => {
      while (!socket.destroyed && socket.write(piece));
    };
    socket.on('drain', write);
    socket.write(start(req));
    write();
  };
}

async function whenClosed({ requests }: RawEndpoint): Promise<void> {
  const deadline = Date.now() + SOON_MS;
  while (!requests.every(({ socket }) => socket.closed)) {
    assert.ok(Date.now() < deadline, 'the connection is still open');
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
}

const misbehaviours = (entry: TestGateway, kind: string): number =>
  entry.metrics.value('endpoint_misbehaviour_total', { service: 'lookup', kind });

for (const [name, endless] of Object.entries(ENDLESS)) {
  test(`a response is ended at the limit of its ${endless.kind}: ${name} without end`, async () => {
    const respond = respondEndlessly(endless);
    await withRawEndpoints([respond], config([ONCE]), async ({ entry, raws }) => {
      const { status, tookMs } = await entry.send('q-1', LONG_REQUEST);
      assert.equal(status, 502);
      assert.ok(tookMs < SOON_MS, `${tookMs} ms`);
      await whenClosed(raws[0] as RawEndpoint);
      assert.equal(misbehaviours(entry, endless.kind), 1);
      const fault = entry.logLines.find(({ event }) => event === 'attempt.fault');
      assert.match(String(fault?.fields.detail), /bytes/);
    });
  });
}

/** Responses within the limits, which may be as large as any. */
const SOUND: Record<
  string,
  { readonly body: string; readonly write: (req: RawRequest) => string }
> = {
  'large head': {
    body: 'own',
    write: (req) =>
      `HTTP/1.1 103 Early Hints\r\n\r\n${responseHead(req, '200 OK', [`A: ${'a'.repeat(12_000)}`, 'Content-Length: 3'])}own`,
  },
  'chunks of one byte': {
    body: 'x'.repeat(40_000),
    write: (req) => chunkedHead(req) + chunk('x').repeat(40_000) + chunk(''),
  },
  'one large chunk': {
    body: 'x'.repeat(3_000_000),
    write: (req) => chunkedHead(req) + chunk('x'.repeat(3_000_000)) + chunk(''),
  },
  trailers: {
    body: 'x'.repeat(100_000),
    write: (req) =>
      `${chunkedHead(req)}${chunk('x'.repeat(100_000))}0\r\nA: ${'a'.repeat(10_000)}\r\n\r\n`,
  },
  length: { body: 'x'.repeat(200_000), write: (req) => okResponse(req, 'x'.repeat(200_000)) },
};

for (const [name, { body, write }] of Object.entries(SOUND)) {
  test(`a response within the limits is forwarded whole, and its connection reused: ${name}`, async () => {
    const respond: RawResponder = (req) => void req.socket.write(write(req));
    await withRawEndpoints([respond], config([ONCE]), async ({ entry, raws }) => {
      for (let i = 1; i <= 3; i += 1) {
        const received = await entry.send(`q-${i}`, LONG_REQUEST);
        assert.equal(received.status, 200);
        assert.equal(received.body === body, true);
      }
      assert.equal(raws[0]?.connections, 1);
    });
  });
}

for (const [name, surplus] of Object.entries({
  blank: '\r\n',
  text: 'x',
  head: 'HTTP/1.1 200 OK\r\n',
})) {
  test(`an idle connection that brings bytes is closed, as a failure of its endpoint: ${name}`, async () => {
    const respond: RawResponder = (req) => {
      req.socket.write(okResponse(req, 'own'));
      setTimeout(() => req.socket.write(surplus), 20);
    };
    await withRawEndpoints([respond], config([ONCE]), async ({ entry, raws }) => {
      assert.equal((await entry.send('q-1', LONG_REQUEST)).body, 'own');
      await whenClosed(raws[0] as RawEndpoint);
      assert.equal(misbehaviours(entry, 'unsolicited'), 1);
      assert.equal((await entry.send('q-2', LONG_REQUEST)).body, 'own');
    });
  });
}

test('bytes on an idle connection never fail a request that is not written yet', async () => {
  const sockets = new Set<Socket>();
  const respond: RawResponder = (req) => {
    sockets.add(req.socket);
    req.socket.write(okResponse(req, 'own'));
  };
  await withRawEndpoints([respond], config([ONCE]), async ({ entry, raws }) => {
    const agent = new http.Agent({ keepAlive: true });
    for (let i = 1; i <= 64; i += 1) {
      const sent = entry.send(`q-${i}`, { ...LONG_REQUEST, agent });
      // The entry receives the request in this process, so that the bytes meet all states of the connection.
      for (let turns = i % 8; turns > 0; turns -= 1)
        await new Promise((resolve) => setImmediate(resolve));
      for (const socket of sockets) socket.write('\r\n');
      sockets.clear();
      const { status } = await sent;
      const isReceived = raws[0]?.requests.some((req) => req.headers['x-request-id'] === `q-${i}`);
      assert.ok(status !== 502 || isReceived, `q-${i}: ${status}`);
    }
    agent.destroy();
  });
});
