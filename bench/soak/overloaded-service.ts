/**
 * Scenario `overloaded-service`: many callers of one service, each of which sends its next request after a response.
 * In spells its endpoints reject, fail, reset or ignore requests, send garbage, ask for backoff and repeat responses
 * late in the place of the next one, all overlapping, while entries are killed, stopped and suspended.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { NO_BACKPRESSURE, type EndpointFault } from '../../fakes/platform-engine/index.js';
import type { Deployment, SoakEndpoint } from './deployment.js';
import { interruptEntry } from './faults.js';
import type { RequestKind } from './record.js';

/** Shares of the requests of an endpoint that meet a fault. */
type FaultShares = readonly (readonly [EndpointFault, number])[];

/** Deadline of the callers, ms; shorter than some suspensions of entries. */
const DEADLINE_MS = 1200;
/** Mostly requests that may run once only. */
const KINDS: readonly RequestKind[] = [
  'once',
  'once',
  'single-attempt',
  'single-attempt',
  'repeatable',
];
/** Duration of a spell, ms, and the chance that an endpoint is in one. */
const SPELL_MS = { min: 2000, spread: 3000 } as const;
const SPELL_CHANCE = 0.9;
/** Number of concurrent series of interruptions of entries, and longest pause in one, ms. */
const INTERRUPTION_SERIES = 2;
const MAX_PAUSE_MS = 800;
/** Share of the responses that an endpoint repeats during a spell. */
const REPEATED_SHARE = 0.03;
/** Chance of each trouble in a spell, and of backoff that rate-limited requests are asked for. */
const TROUBLE_CHANCE = 0.6;
const BACKOFF_CHANCE = 0.3;
const BACKOFF_S = 0.3;

const TROUBLES: readonly FaultShares[] = [
  [['full', 0.6]],
  [['full', 0.02]],
  [['error', 0.2]],
  [
    ['dropped', 0.02],
    ['cut', 0.01],
    ['garbled', 0.02],
  ],
  [['silent', 0.03]],
  [['limited', 0.1]],
  [
    ['endless-head', 0.002],
    ['endless-interim', 0.002],
    ['endless-trailers', 0.002],
    ['endless-chunks', 0.002],
    ['endless-body', 0.002],
    ['endless-rejection', 0.005],
    ['trickling-rejection', 0.005],
  ],
];

/** The same fault with its response repeated; others have none to repeat. */
function repeated(fault: EndpointFault | undefined): EndpointFault | undefined {
  if (fault === undefined) return 'late';
  return fault === 'full' ? 'full-late' : fault;
}

/** Picks a fault by its share; undefined for the rest. */
function drawFrom(shares: FaultShares, random: () => number): EndpointFault | undefined {
  let rest = random();
  return shares.find(([, share]) => (rest -= share) < 0)?.[0];
}

/** Starts a spell of an endpoint: each trouble by chance. */
function startSpell(endpoint: SoakEndpoint, random: () => number): void {
  const shares = TROUBLES.filter(() => random() < TROUBLE_CHANCE).flat();
  const retryAfterS = random() < BACKOFF_CHANCE ? BACKOFF_S : 0;
  endpoint.signals = { ...NO_BACKPRESSURE, retryAfterS };
  endpoint.drawFault = () => {
    const fault = drawFrom(shares, random);
    return random() < REPEATED_SHARE ? repeated(fault) : fault;
  };
}

function endSpell(endpoint: SoakEndpoint): void {
  endpoint.signals = NO_BACKPRESSURE;
  endpoint.drawFault = () => undefined;
}

/**
 * Plays spells at the endpoints and interrupts entries until `untilMs`.
 * @example await overloadService(deployment, random, 50_000);
 */
export async function overloadService(
  deployment: Deployment,
  random: () => number,
  untilMs: number,
): Promise<void> {
  const { endpoints, kinds, nowMs } = deployment;
  deployment.deadlineMs = DEADLINE_MS;
  kinds.splice(0, kinds.length, ...KINDS);
  const playSpells = async (endpoint: SoakEndpoint): Promise<void> => {
    while (nowMs() < untilMs) {
      if (random() < SPELL_CHANCE) startSpell(endpoint, random);
      await sleep(Math.min(SPELL_MS.min + SPELL_MS.spread * random(), untilMs - nowMs()));
      endSpell(endpoint);
    }
  };
  const interruptEntries = async (): Promise<void> => {
    while (nowMs() < untilMs) {
      await interruptEntry(deployment, random);
      await sleep(MAX_PAUSE_MS * random());
    }
  };
  await Promise.all([
    ...endpoints.map(playSpells),
    ...Array.from({ length: INTERRUPTION_SERIES }, interruptEntries),
  ]);
}
