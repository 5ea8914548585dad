/**
 * Callers that read more slowly than their endpoint writes. Reading from the endpoint only as fast as the caller reads held
 * the endpoint's connection and the slot of the group until the caller's deadline, and the idle timeout then blamed the
 * endpoint for the silence, gave up its connections and resumed the stream elsewhere.
 */
import assert from 'node:assert/strict';
import { Agent } from 'node:http';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { test } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import {
  chunk,
  event,
  okResponse,
  responseHead,
  type RawEndpoint,
  type RawRequest,
  type RawResponder,
} from '../../../fakes/raw-endpoint/index.js';
import { BUFFER_MEMORY_SHARE } from '../../../src/core/buffering/index.js';
import { asId, type GroupId } from '../../../src/core/ids/index.js';
import type { Route } from '../../../src/core/published/index.js';
import { ENGINE_INFO } from '../../fixtures/engine.js';
import { until } from '../../fixtures/until.js';
import {
  config,
  endpoint,
  route,
  SERVICE,
  TEST_SETTINGS,
  withRawEndpoints,
  type TestGateway,
  type RawEndpointsSetup,
} from '../harness.js';

/** Data of one large event, and number of events: twice what the system buffers for a connection. */
const LARGE_EVENT_BYTES = 64 * 1024;
const LARGE_EVENTS = 128;

/** Memory with a budget of 100 kB, of which 40 kB for one response and 50 kB for bodies. */
const MEMORY_BYTES = 100e3 / BUFFER_MEMORY_SHARE;

const streamHead = (req: RawRequest): string =>
  responseHead(req, '200 OK', ['Content-Type: text/event-stream', 'Transfer-Encoding: chunked']);
const largeEvent = (id: number): string => `id: ${id}\ndata: ${'x'.repeat(LARGE_EVENT_BYTES)}\n\n`;
const events = (from: number, to: number): string =>
  Array.from({ length: to - from + 1 }, (_, i) => event(from + i)).join('');

/**
 * Makes a connection of the gateway take no more bytes, like one whose caller has stopped reading and whose buffers in the
 * system are full; the returned function ends this.
 */
function blockWrites(socket: Socket): () => void {
  const held: (() => void)[] = [];
  const write = socket._write.bind(socket);
  const writev = socket._writev?.bind(socket);
  socket._write = (...args) => void held.push(() => write(...args));
  socket._writev = (...args) => void held.push(() => writev?.(...args));
  return () => {
    socket._write = write;
    socket._writev = writev;
    for (const run of held.splice(0)) run();
  };
}

interface TestSetup {
  readonly under: TestGateway;
  readonly endpoints: readonly RawEndpoint[];
}

interface SetupOptions {
  readonly change?: Partial<Route>;
  readonly memoryBytes?: number;
  /** Whether the gateway's connections take no bytes from the start, as if no caller read any. */
  readonly isBlocked?: boolean;
}

async function withEndpoints(
  answers: readonly RawResponder[],
  { change, memoryBytes = 256e6, isBlocked = false }: SetupOptions,
  run: (setup: TestSetup) => Promise<void>,
): Promise<void> {
  const streamRoute = route({
    kind: 'stream',
    resumable: true,
    gapMs: 100,
    timeoutMs: 6000,
    ...change,
  });
  const service = { id: asId(SERVICE), maxConnections: 100, engine: ENGINE_INFO } as const;
  const limits = { headerBytes: 16_384, bodyBytes: 32e6, headerMs: 3000, idleMs: 15_000 };
  const cfg = config([streamRoute], {
    services: new Map([[service.id, service]]),
    limits,
  } as never);
  const options = {
    groupOf: () => asId<GroupId>('g'),
    settings: { ...TEST_SETTINGS, keyFreshnessMs: Infinity, memoryBytes },
  };
  const runSetUp = ({ entry: under, raws: endpoints }: RawEndpointsSetup): Promise<void> => {
    if (isBlocked) under.gateway.server.on('connection', blockWrites);
    return run({ under, endpoints });
  };
  await withRawEndpoints(answers, cfg, runSetUp, options);
}

interface SlowCaller {
  readonly socket: Socket;
  /** Text received so far. */
  text(): string;
  isClosed(): boolean;
}

/** Sends a request and does not read the response until its socket is resumed. */
function callSlowly(under: TestGateway, id: string, deadlineMs = 20_000): SlowCaller {
  const { port } = under.gateway.server.address() as AddressInfo;
  const socket = connect(port, '127.0.0.1');
  let text = '';
  let isClosed = false;
  socket.on('data', (bytes) => (text += bytes.toString('latin1')));
  socket.pause();
  socket.on('error', () => undefined);
  socket.on('close', () => (isClosed = true));
  const headers = [
    'Host: a.example',
    `X-Request-Id: ${id}`,
    `X-Deadline-Ms: ${deadlineMs}`,
    'Authorization: Bearer key-1',
    'Content-Length: 0',
  ];
  socket.write(`POST /x/1 HTTP/1.1\r\n${headers.join('\r\n')}\r\n\r\n`);
  return { socket, text: () => text, isClosed: () => isClosed };
}

/** Removes the chunk framing of a chunked body; undefined if its end is missing. */
function dechunk(text: string): string | undefined {
  let rest = text.slice(text.indexOf('\r\n\r\n') + 4);
  let body = '';
  for (;;) {
    const lineEnd = rest.indexOf('\r\n');
    if (lineEnd < 0) return undefined;
    const size = parseInt(rest.slice(0, lineEnd), 16);
    if (size === 0) return body;
    body += rest.slice(lineEnd + 2, lineEnd + 2 + size);
    rest = rest.slice(lineEnd + 2 + size + 2);
  }
}

const running = (under: TestGateway): number =>
  under.ctx.serviceOf(asId(SERVICE)).groups?.queueOf(asId('g')).queue.running ?? 0;
const hasFaults = (under: TestGateway): boolean =>
  under.logLines.some((line) => line.event === 'attempt.fault');
const unreadLines = (under: TestGateway): unknown[] =>
  under.logLines
    .filter((line) => line.event === 'response.unread')
    .map((line) => [line.fields['request'], line.fields['reason']]);
const outcomeOf = (under: TestGateway, id: string): unknown =>
  under.logLines.find((l) => l.event === 'request.end' && l.fields['request'] === id)?.fields[
    'outcome'
  ];

test('a caller that stops reading holds neither the connection of its endpoint nor the slot of its group', async () => {
  let isWritten = false;
  const answer: RawResponder = (req) => {
    req.socket.write(streamHead(req));
    for (let id = 1; id <= LARGE_EVENTS; id += 1) req.socket.write(chunk(largeEvent(id)));
    req.socket.write(chunk(''), () => (isWritten = true));
  };
  await withEndpoints([answer, answer], {}, async ({ under, endpoints }) => {
    const caller = callSlowly(under, 'q-slow');
    await until('the endpoint has been read', () => isWritten && running(under) === 0, 1500);
    // Longer than the idle timeout of a stream.
    await wait(1400);
    assert.ok(!hasFaults(under));
    assert.ok(under.ctx.memory.usedBytes > 1e6, `${under.ctx.memory.usedBytes} bytes unread`);
    assert.equal(under.gateway.running(), 1, 'a stopping entry must not exit yet');
    const fast = await under.send('q-fast');
    assert.ok(fast.complete);
    assert.equal(
      endpoints.reduce((n, e) => n + e.requests.length, 0),
      2,
    );
    caller.socket.resume();
    await until('the caller has everything', () => caller.text().endsWith('0\r\n\r\n'));
    const whole = Array.from({ length: LARGE_EVENTS }, (_, i) => largeEvent(i + 1)).join('');
    assert.ok(dechunk(caller.text()) === whole, 'all events, in order, once');
    await until('the request has ended', () => under.gateway.running() === 0);
    assert.equal(outcomeOf(under, 'q-slow'), 'answered');
    assert.equal(under.ctx.memory.usedBytes, 0);
    caller.socket.destroy();
  });
});

test('a slow caller hides neither the silence of an endpoint nor the resumption after it', async () => {
  let first = true;
  const answer: RawResponder = (req) => {
    req.socket.write(streamHead(req));
    if (first) {
      first = false;
      return void req.socket.write(chunk(event(1)) + chunk(event(2)) + chunk(event(3)));
    }
    // Resumed after the last event that was accepted, although the caller has read none.
    assert.equal(req.headers['last-event-id'], '3');
    req.socket.write(chunk(event(4)) + chunk(event(5)) + chunk(''));
  };
  await withEndpoints([answer, answer], {}, async ({ under }) => {
    let unblock = (): void => undefined;
    under.gateway.server.on('connection', (socket: Socket) => (unblock = blockWrites(socket)));
    const caller = callSlowly(under, 'q-1');
    caller.socket.resume();
    await until('the silence is noticed', () => hasFaults(under), 2000);
    assert.equal(under.logLines.find((l) => l.event === 'attempt.fault')?.fields['kind'], 'silent');
    await until('the stream has ended at its endpoint', () => running(under) === 0);
    assert.equal(caller.text(), '');
    unblock();
    await until('the caller has everything', () => caller.text().endsWith('0\r\n\r\n'));
    assert.equal(dechunk(caller.text()), events(1, 5));
    caller.socket.destroy();
  });
});

test('a caller that disconnects with unread bytes ends the work of its endpoint within half a second', async () => {
  let closedAtMs = 0;
  const endless: RawResponder = (req) => {
    req.socket.write(streamHead(req));
    let id = 0;
    const timer = setInterval(() => req.socket.write(chunk(largeEvent((id += 1)))), 2);
    req.socket.on('close', () => {
      clearInterval(timer);
      closedAtMs = performance.now();
    });
  };
  await withEndpoints([endless], {}, async ({ under }) => {
    const caller = callSlowly(under, 'q-1');
    await until('bytes are unread', () => under.ctx.memory.usedBytes > 500_000);
    const atMs = performance.now();
    caller.socket.destroy();
    await until('the endpoint is free', () => closedAtMs > 0);
    assert.ok(closedAtMs - atMs < 500, `${closedAtMs - atMs} ms`);
    await until('the request has ended', () => under.gateway.running() === 0);
    assert.equal(outcomeOf(under, 'q-1'), 'gone');
    assert.equal(under.ctx.memory.usedBytes, 0);
    assert.ok(!hasFaults(under));
  });
});

test('a caller that never reads is ended at its deadline, and its response never looks complete', async () => {
  const answer: RawResponder = (req) =>
    void req.socket.write(streamHead(req) + chunk(event(1)) + chunk(event(2)) + chunk(''));
  await withEndpoints(
    [answer],
    { isBlocked: true, change: { timeoutMs: 700 } },
    async ({ under }) => {
      const caller = callSlowly(under, 'q-1');
      caller.socket.resume();
      await until('the slot is free', () => running(under) === 0, 400);
      await until('the caller is cut off', () => caller.isClosed(), 1500);
      assert.equal(caller.text(), '');
      assert.equal(outcomeOf(under, 'q-1'), 'cut');
      assert.deepEqual(unreadLines(under), [['q-1', 'deadline']]);
      assert.equal(under.gateway.running(), 0);
      assert.equal(under.ctx.memory.usedBytes, 0);
    },
  );
});

test('once the budget is spent, the caller that has not read for longest is cut off, and nobody who reads', async () => {
  const sockets: Socket[] = [];
  const sendPart = (n: number, bytes: number): void =>
    void sockets[n]?.write(chunk(`id: 2\ndata: ${'x'.repeat(bytes)}\n\n`));
  const answer: RawResponder = (req) => {
    sockets.push(req.socket);
    req.socket.write(streamHead(req) + chunk(event(1)));
  };
  await withEndpoints([answer], { memoryBytes: MEMORY_BYTES }, async ({ under }) => {
    const answers: string[] = [];
    const reading = under.send('q-reads', { onBody: (body) => (answers[0] = body) });
    await until('the first caller reads', () => answers.length === 1);
    under.gateway.server.on('connection', blockWrites);
    const slow: SlowCaller[] = [];
    for (let n = 1; n <= 5; n += 1) {
      slow.push(callSlowly(under, `q-${n}`));
      await until('its stream has begun', () => sockets.length === n + 1);
      const before = under.ctx.memory.usedBytes;
      const bytes = n === 5 ? 10_000 : 21_000;
      sendPart(n, bytes);
      await until('its bytes are buffered', () => under.ctx.memory.usedBytes > before + bytes);
      await wait(30);
      if (n === 4) await wait(300);
    }
    assert.ok(unreadLines(under).length === 0, 'the budget is not spent yet');
    sendPart(0, 100);
    await until('the first caller still reads', () => (answers[0] ?? '').length > 100);
    sockets[5]?.write(chunk(`id: 3\ndata: ${'x'.repeat(5000)}\n\n`));
    sockets[4]?.write(chunk(`id: 3\ndata: ${'x'.repeat(3000)}\n\n`));
    await until('a caller is cut off', () => unreadLines(under).length > 0);
    assert.deepEqual(unreadLines(under), [['q-1', 'budget']]);
    await until('the slot and the endpoint are free', () => sockets[1]?.destroyed === true);
    assert.equal(outcomeOf(under, 'q-1'), 'cut');
    assert.ok(!hasFaults(under), 'the endpoint is not blamed');
    const labels = { reason: 'budget' };
    assert.equal(under.metrics.value('unread_responses_ended_total', labels), 1);
    sockets[0]?.write(chunk(''));
    assert.ok((await reading).complete);
    for (const caller of slow) caller.socket.destroy();
  });
});

test('a response that does not fit into the memory is never sent in part, and its endpoint is not blamed', async () => {
  const answer: RawResponder = (req) =>
    void req.socket.write(
      responseHead(req, '200 OK', ['Content-Length: 45000']) + 'x'.repeat(45_000),
    );
  await withEndpoints(
    [answer],
    { memoryBytes: MEMORY_BYTES, change: { kind: 'once' } },
    async (setup) => {
      const { under } = setup;
      const response = await under.send('q-1');
      assert.deepEqual([response.status, response.complete], [502, true]);
      assert.equal((JSON.parse(response.body) as { reason: string }).reason, 'answer-lost');
      assert.deepEqual(unreadLines(under), [['q-1', 'response-limit']]);
      assert.ok(!hasFaults(under));
      await until('the request has ended', () => under.gateway.running() === 0);
      assert.equal(under.ctx.memory.usedBytes, 0);
    },
  );
});

test('a response that is not streamed counts until its caller has read it', async () => {
  const answer: RawResponder = (req) =>
    void req.socket.write(
      responseHead(req, '200 OK', ['Content-Length: 20000']) + 'x'.repeat(20_000),
    );
  const options = {
    memoryBytes: MEMORY_BYTES,
    isBlocked: true,
    change: { kind: 'repeatable' },
  } as const;
  await withEndpoints([answer], options, async ({ under }) => {
    const callers = Array.from({ length: 5 }, (_, n) => callSlowly(under, `q-${n}`));
    await until('the budget is used', () => under.ctx.memory.usedBytes === 100_000);
    assert.equal(running(under), 0);
    assert.equal(under.gateway.running(), 5);
    await wait(300);
    callers.push(callSlowly(under, 'q-5'));
    await until('one caller is cut off', () => unreadLines(under).length === 1);
    await until('its bytes are free', () => under.ctx.memory.usedBytes === 100_000);
    assert.ok(!hasFaults(under));
    for (const caller of callers) caller.socket.resetAndDestroy();
    await until('all requests have ended', () => under.gateway.running() === 0);
    assert.equal(under.ctx.memory.usedBytes, 0);
  });
});

test('a request whose declared body does not fit into the memory is refused at once, as not run', async () => {
  const answer: RawResponder = (req) => void req.socket.write(okResponse(req, 'fine'));
  const options = { memoryBytes: MEMORY_BYTES, change: { kind: 'once' } } as const;
  await withEndpoints([answer], options, async ({ under, endpoints }) => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    const refused = await under.send('q-1', { body: 'x'.repeat(60_000), agent });
    assert.equal(refused.status, 503);
    const problem = JSON.parse(refused.body) as { reason: string; outcome: string };
    assert.deepEqual([problem.reason, problem.outcome], ['buffers-full', 'not-run']);
    assert.ok(Number(refused.headers['retry-after']) >= 1);
    const chunked = { 'transfer-encoding': 'chunked' };
    const late = await under.send('q-2', { body: 'x'.repeat(60_000), headers: chunked, agent });
    assert.equal(late.status, 503);
    const small = await under.send('q-3', { body: 'x'.repeat(40_000), agent });
    assert.equal(small.status, 200);
    assert.deepEqual(
      endpoints[0]?.requests.map((req) => req.headers['x-request-id']),
      ['q-3'],
    );
    await until('all bodies are free', () => under.ctx.memory.usedBytes === 0);
    agent.destroy();
  });
});

test('bodies that are being sent count before they have arrived', async () => {
  const answer: RawResponder = (req) => void req.socket.write(okResponse(req, 'fine'));
  const options = { memoryBytes: MEMORY_BYTES, change: { kind: 'once' } } as const;
  await withEndpoints([answer], options, async ({ under }) => {
    const { port } = under.gateway.server.address() as AddressInfo;
    const sending = connect(port, '127.0.0.1');
    const headers = 'X-Request-Id: q-1\r\nAuthorization: Bearer key-1\r\nContent-Length: 40000';
    sending.write(`POST /x/1 HTTP/1.1\r\nHost: a.example\r\n${headers}\r\n\r\nx`);
    await until('the body is reserved', () => under.ctx.memory.usedBytes === 40_000);
    assert.equal((await under.send('q-2', { body: 'x'.repeat(20_000) })).status, 503);
    sending.destroy();
    await until('the body is free', () => under.ctx.memory.usedBytes === 0);
    assert.equal((await under.send('q-3', { body: 'x'.repeat(20_000) })).status, 200);
  });
});

test('an endpoint that does not read a body holds it no longer than the attempt may take', async () => {
  const server = createServer((socket) => socket.pause().on('error', () => undefined));
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const options = { change: { kind: 'once', timeoutMs: 600 } } as const;
  await withEndpoints([], options, async ({ under }) => {
    under.state.offerList([endpoint('e-slow', `127.0.0.1:${port}`)], false);
    // More than the system buffers for a connection.
    const response = await under.send('q-1', { body: 'x'.repeat(12e6) });
    assert.equal(response.status, 504);
    assert.ok(response.tookMs < 1000, `${response.tookMs} ms`);
    assert.ok(under.ctx.memory.peakBytes >= 12e6);
    await until('the body is free', () => under.ctx.memory.usedBytes === 0);
  });
  server.close();
});
