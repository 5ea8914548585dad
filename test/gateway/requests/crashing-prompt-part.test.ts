/**
 * Guards against requests that share one part of their prompt, which crashes every endpoint that
 * begins to answer them. No two are alike; sound requests have the same organisation, the same route
 * and the other parts. Unless the part is known, each of them crashes another endpoint, and in a
 * lock-step group all ranks are out of service most of the time.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import { asId, type GroupId } from '../../../src/core/ids/index.js';
import type { CrashUpdate } from '../../../src/generated/messages.types.js';
import { ENGINE_INFO } from '../../fixtures/engine.js';
import { config, endpoint, route, SERVICE, startGateway, type TestGateway } from '../harness.js';
import {
  CrashingEndpoint,
  LockStepGroup,
  type CrashingEndpointOptions,
} from '../crashing-endpoint.js';

const ENDPOINTS = 8;
const ENTRIES = 4;
/** Interval at which the configuration is confirmed as current, ms. */
const CONFIRM_INTERVAL_MS = 500;
/** Time within which entries know what others observed, ms. */
const CONTACT_MS = 500;
/** Duration of the traffic, and the time from which some of it crashes endpoints, ms. */
const TRAFFIC_MS = 5000;
const CRASHING_FROM_MS = 1000;
/** Interval between sound requests, and one of them is followed by a crashing one this often, ms. */
const SOUND_INTERVAL_MS = 12;
const CRASHING_INTERVAL_MS = 80;
/** Crashes after which no more than this many crashing requests may reach endpoints. */
const CRASHES_UNTIL_KNOWN = 5;
const MAX_LATE_RUNS = 3;
/** Fewest requests from which a share is taken. */
const MIN_SAMPLE = 20;

const SHARED_PART = '5a5a5a5a';
const CRASHING_PART = 'bad0bad0';
/** Parts that follow the shared one in sound prompts, and the crashing one in others. */
const OTHER_PARTS = ['0a', '0b', '0c', '0d', '0e', '0f'];

interface SentRequest {
  readonly id: string;
  readonly sentAtMs: number;
  readonly isCrashing: boolean;
  status: number;
}

interface Play {
  readonly endpoints: readonly CrashingEndpoint[];
  readonly requests: readonly SentRequest[];
}

function promptOf(own: number, isCrashing: boolean): string {
  const other = OTHER_PARTS[own % OTHER_PARTS.length] ?? '';
  const parts = [SHARED_PART, ...(isCrashing ? [CRASHING_PART] : []), other, `f${own}`];
  return parts.map((part) => `${part}:40`).join();
}

async function startEntries(
  endpoints: readonly CrashingEndpoint[],
  { isStream = false, group }: CrashingEndpointOptions,
): Promise<TestGateway[]> {
  const listed = endpoints.map(({ address }, i) => endpoint(`e-${i}`, address));
  const served = route({ kind: isStream ? 'stream' : 'repeatable', gapMs: 300 });
  const service = { id: asId(SERVICE), maxConnections: 100, engine: ENGINE_INFO } as const;
  const services = { services: new Map([[service.id, service]]) };
  const gateways: TestGateway[] = [];
  const sendToAll = (update: CrashUpdate): void => {
    for (const { ctx } of gateways) ctx.crashes.evidence.merge(update);
  };
  for (let i = 0; i < ENTRIES; i += 1)
    gateways.push(
      await startGateway(config([served], (group ? services : {}) as never), listed, {
        broadcastCrashes: sendToAll,
        groupOf: () => (group ? asId<GroupId>('g') : undefined),
      }),
    );
  return gateways;
}

/** Plays sound requests at all entries, and from a time on such that crash endpoints. */
async function play(options: CrashingEndpointOptions): Promise<Play> {
  const isCrashing = (_path: string, headers: { [name: string]: unknown }): boolean =>
    String(headers['x-prompt-prefix']).includes(CRASHING_PART);
  const endpoints = await Promise.all(
    Array.from({ length: ENDPOINTS }, () => CrashingEndpoint.start(isCrashing, options)),
  );
  const gateways = await startEntries(endpoints, options);
  const confirmTimer = setInterval(() => {
    for (const { state, ctx } of gateways) state.confirmConfig(ctx.ageClock.nowMs());
  }, CONFIRM_INTERVAL_MS);
  const startedAtMs = performance.now();
  const requests: SentRequest[] = [];
  const pending: Promise<void>[] = [];
  const send = (crashing: boolean): void => {
    const n = requests.length;
    const sent: SentRequest = {
      id: `q-${n}`,
      sentAtMs: performance.now(),
      isCrashing: crashing,
      status: 0,
    };
    requests.push(sent);
    const headers = { 'x-prompt-prefix': promptOf(n, crashing) };
    const response = gateways[n % ENTRIES]?.send(sent.id, {
      path: `/x/${n}`,
      body: `b-${n}`,
      headers,
    });
    pending.push(
      (response ?? Promise.reject(new Error('no entry'))).then(
        ({ status }) => void (sent.status = status),
      ),
    );
  };
  let crashingAtMs = startedAtMs + CRASHING_FROM_MS;
  while (performance.now() < startedAtMs + TRAFFIC_MS) {
    send(false);
    if (performance.now() >= crashingAtMs) {
      send(true);
      crashingAtMs += CRASHING_INTERVAL_MS;
    }
    await wait(SOUND_INTERVAL_MS);
  }
  await Promise.all(pending);
  clearInterval(confirmTimer);
  for (const gateway of gateways) gateway.close();
  for (const each of endpoints) each.close();
  return { endpoints, requests };
}

/** Share of sound requests that were served at the first attempt of their caller. */
function soundShare(requests: readonly SentRequest[], fromMs: number, untilMs: number): number {
  const sent = requests.filter(
    ({ isCrashing, sentAtMs }) => !isCrashing && sentAtMs >= fromMs && sentAtMs < untilMs,
  );
  assert.ok(sent.length >= MIN_SAMPLE, `${sent.length} requests`);
  return sent.filter(({ status }) => status === 200).length / sent.length;
}

function assertContained({ endpoints, requests }: Play): void {
  const crashes = endpoints.flatMap(({ crashedAtMs }) => crashedAtMs).sort((a, b) => a - b);
  const fifthMs = crashes[CRASHES_UNTIL_KNOWN - 1] ?? Number.POSITIVE_INFINITY;
  const late = endpoints
    .flatMap(({ began }) => began)
    .filter(({ isCrashing, atMs }) => isCrashing && atMs > fifthMs + CONTACT_MS);
  assert.ok(late.length <= MAX_LATE_RUNS, `${late.length} late runs, ${crashes.length} crashes`);
  const [firstMs = 0] = crashes;
  const knownMs = Math.min(fifthMs, crashes.at(-1) ?? 0) + 2 * CONTACT_MS;
  const before = soundShare(requests, 0, firstMs - 100);
  const after = soundShare(requests, knownMs, Number.POSITIVE_INFINITY);
  assert.ok(after >= before / 2, `sound requests served: ${before} before, ${after} after`);
}

test('requests that share a crashing prompt part do not crash endpoint after endpoint', async () => {
  assertContained(await play({ sentBeforeCrash: 'head' }));
});

test('streams that share a crashing prompt part do not crash endpoint after endpoint, even after an event', async () => {
  assertContained(await play({ sentBeforeCrash: 'event', isStream: true }));
});

test('requests that share a crashing prompt part do not keep a lock-step group out of service', async () => {
  assertContained(
    await play({ sentBeforeCrash: 'head', isStream: true, group: new LockStepGroup() }),
  );
});
