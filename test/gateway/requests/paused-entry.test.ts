/**
 * Guards against an entry that takes its own pause for the silence of an endpoint: it ended attempts whose
 * responses had arrived meanwhile, and ran their requests once more; and it took a crashed endpoint for a running
 * one, so that a request that crashes endpoints crashed more of them than it may.
 */
import assert from 'node:assert/strict';
import type { Socket } from 'node:net';
import { test } from 'node:test';
import { setImmediate as nextImmediate, setTimeout as wait } from 'node:timers/promises';
import {
  chunk,
  event,
  okResponse,
  responseHead,
  startRawEndpoint,
  type RawResponder,
} from '../../../fakes/raw-endpoint/index.js';
import { systemClock } from '../../../src/core/clock/index.js';
import { silentLog } from '../../../src/core/logging/index.js';
import { Metrics } from '../../../src/core/metrics/index.js';
import type { Route } from '../../../src/core/published/index.js';
import { CrashDetector } from '../../../src/gateway/requests/crash-detector.js';
import { STREAM_IDLE_TIMEOUT_MS } from '../../../src/gateway/consts.js';
import type { GatewayRequest } from '../../../src/gateway/types.js';
import { pauseProcess } from '../../fixtures/pause-process.js';
import { config, endpoint, route, withRawEndpoints } from '../harness.js';

/** Longer than the timeouts of a response and of a probe for a crash, ms. */
const PAUSE_MS = 500;
const RESPONSE_MS = 20;

/** Writes to the connection of an entry a moment later, and pauses before the entry can read it. */
async function writeAndPause(socket: Socket, bytes: string, pauseMs: number): Promise<void> {
  await wait(RESPONSE_MS);
  // Timers run next after immediates, before I/O.
  await nextImmediate();
  socket.write(bytes);
  pauseProcess(pauseMs);
}

/** Sends a request to an entry with two endpoints; returns the body, and how many requests they got. */
async function sendTo(
  responder: RawResponder,
  change: Partial<Route>,
): Promise<{ body: string; arrivals: number }> {
  const cfg = config([route({ timeoutMs: 5000, ...change })]);
  return withRawEndpoints([responder, responder], cfg, async ({ entry, raws }) => {
    const { body } = await entry.send('q-1', { headers: { 'x-deadline-ms': '5000' } });
    return { body, arrivals: raws.reduce((sum, { requests }) => sum + requests.length, 0) };
  });
}

test('a response that arrived during a pause of the entry is delivered', async () => {
  const responder: RawResponder = (req) =>
    void writeAndPause(req.socket, okResponse(req, 'whole'), PAUSE_MS);
  assert.deepEqual(await sendTo(responder, {}), { body: 'whole', arrivals: 1 });
});

test('a stream goes on with the events that arrived during a pause of the entry', async () => {
  const responder: RawResponder = (req) => {
    const fields = ['Content-Type: text/event-stream', 'Transfer-Encoding: chunked'];
    req.socket.write(responseHead(req, '200 OK', fields) + chunk(event(1)));
    const rest = chunk(event(2)) + chunk('');
    void writeAndPause(req.socket, rest, STREAM_IDLE_TIMEOUT_MS + PAUSE_MS);
  };
  const change = { kind: 'stream', gapMs: 100, resumable: true } as const;
  assert.deepEqual(await sendTo(responder, change), { body: event(1) + event(2), arrivals: 1 });
});

test('an entry that pauses while it probes an endpoint notices that it has crashed', async () => {
  const crashed = await startRawEndpoint(() => undefined);
  crashed.close();
  const detector = new CrashDetector({
    clock: systemClock,
    random: () => 0,
    log: silentLog,
    metrics: new Metrics(),
    readPromptParts: undefined,
    publish: () => undefined,
  });
  const request = {
    id: 'q-1',
    req: { url: '/x/1', headers: {} },
    head: {},
    body: Buffer.alloc(0),
    route: route(),
    gone: new AbortController().signal,
  } as unknown as GatewayRequest;
  const checked = detector.recordFault({
    request,
    endpoint: endpoint('e-1', crashed.address),
    fault: { kind: 'broke', detail: 'other side closed' },
    sentAtMs: systemClock.nowMs(),
  });
  pauseProcess(PAUSE_MS);
  await checked;
  assert.equal(detector.evidence.isEmpty, false);
});
