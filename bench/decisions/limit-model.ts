/** Simulates entries that send random requests to the rate-limited endpoints of one service. */
import {
  TokenBucket,
  limitShare,
  ASSUMED_PEERS,
  type LimitShare,
  type LimitPeers,
} from '../../src/core/backpressure/index.js';
import { seededRandom } from '../../src/core/clock/index.js';

/** Parameters of a simulation. */
export interface LimitScenario {
  readonly seed: number;
  readonly entries: number;
  readonly endpoints: number;
  /** Limit of each endpoint, requests per second. */
  readonly limitPerS: number;
  /** Arrival rate of requests, as a multiple of the limits of all endpoints. */
  readonly load: number;
  /** Share of requests that arrive at the first entry; an equal share if omitted. */
  readonly firstShare?: number;
  /** Length of the quiet and of the busy half of a wave, s; constant load if omitted. */
  readonly waveS?: number;
  /** Time after which the entries know each other, s; 0 if omitted. */
  readonly strangersS?: number;
  /**
   * Number of the last entries that every second other entry does not know, as they start or are
   * partitioned. Requests sent by these do not count towards the bound. 0 if omitted.
   */
  readonly unseen?: number;
  readonly seconds: number;
}

/** Result of a simulation. */
export interface LimitOutcome {
  /** Maximum number of requests to one endpoint within 4 s that count towards the bound. */
  readonly maxInWindow: number;
  /** Requests sent, as a share of the limits or of the requests that arrived, whichever is less. */
  readonly usedShare: number;
}

/** Input to a policy: what one entry knows about one endpoint. */
export interface LimitPolicyInput {
  readonly limitPerS: number;
  readonly entries: number;
  /** Number of entries known to this one, including itself. */
  readonly knownEntries: number;
  readonly entry: number;
  /** Position of the endpoint among those of the service, from 0 to 1. */
  readonly ringPosition: number;
  /** Share of all requests that arrived at this entry, as published up to a second ago. */
  readonly trafficShare: number;
  readonly isIsolated: boolean;
}

/** Determines one entry's share of the limit of an endpoint. */
export type LimitPolicy = (input: LimitPolicyInput) => LimitShare;

const peersOf = ({ entry, entries, knownEntries, isIsolated }: LimitPolicyInput): LimitPeers =>
  isIsolated
    ? { index: undefined, count: Math.max(ASSUMED_PEERS, entries) }
    : { index: entry, count: knownEntries };

/** The policies compared: equal shares, shares in proportion to traffic, and the one in use. */
export const LIMIT_POLICIES = {
  'an equal share each': ({ limitPerS, entries }) => ({ perS: limitPerS / entries, saved: 1 }),
  'by what each carries': ({ limitPerS, trafficShare }) => ({
    perS: limitPerS * trafficShare,
    saved: 1,
  }),
  'a ring of as many as the bound bears': (input) =>
    limitShare({
      limitPerS: input.limitPerS,
      peers: peersOf(input),
      ringPosition: input.ringPosition,
    }),
} as const satisfies Record<string, LimitPolicy>;

const WINDOW_MS = 4000;
const STEP_MS = 10;
/** Time constant of the traffic averaged by an entry, ms. */
const TRAFFIC_TIME_CONSTANT_MS = 2000;
/** Interval at which entries publish their average traffic, ms. */
const PUBLISH_INTERVAL_MS = 1000;
/** Load between two waves, as a share of the load during a wave. */
const LOAD_BETWEEN_WAVES = 0.02;

function countMaxInWindow(times: readonly number[]): number {
  let start = 0;
  let max = 0;
  for (const [i, atMs] of times.entries()) {
    while ((times[start] ?? atMs) <= atMs - WINDOW_MS) start += 1;
    max = Math.max(max, i - start + 1);
  }
  return max;
}

/** Share of requests that arrive at an entry. */
function callerShare({ entries, firstShare }: LimitScenario, entry: number): number {
  if (firstShare === undefined || entries === 1) return 1 / entries;
  return entry === 0 ? firstShare : (1 - firstShare) / (entries - 1);
}

/** Number of entries known to an entry, including itself. */
function countKnownEntries({ entries, unseen = 0 }: LimitScenario, entry: number): number {
  const hasPartialView = entry % 2 === 1 && entry < entries - unseen;
  return hasPartialView ? entries - unseen : entries;
}

/**
 * Simulates one policy.
 * @example simulateLimit({ seed: 1, entries: 42, endpoints: 3, limitPerS: 4, load: 2, seconds: 60 }, policy)
 */
export function simulateLimit(scenario: LimitScenario, policy: LimitPolicy): LimitOutcome {
  const { entries, endpoints, limitPerS, load, waveS, seconds } = scenario;
  const random = seededRandom(scenario.seed);
  const buckets = Array.from({ length: entries }, () =>
    Array.from({ length: endpoints }, () => new TokenBucket(random)),
  );
  let sent = 0;
  const sentAtMs: number[][] = Array.from({ length: endpoints }, () => []);
  const traffic = Array.from({ length: entries }, () => 0);
  let publishedTraffic = traffic;
  let requested = 0;
  for (let atMs = 0; atMs < seconds * 1000; atMs += STEP_MS) {
    if (atMs % PUBLISH_INTERVAL_MS === 0) publishedTraffic = [...traffic];
    const total = publishedTraffic.reduce((sum, one) => sum + one, 0);
    const isBetweenWaves = waveS !== undefined && Math.floor(atMs / 1000 / waveS) % 2 === 0;
    const perStep =
      (endpoints * limitPerS * load * (isBetweenWaves ? LOAD_BETWEEN_WAVES : 1) * STEP_MS) / 1000;
    for (let entry = 0; entry < entries; entry += 1) {
      const expected = perStep * callerShare(scenario, entry);
      const arrivals = Math.floor(expected) + (random() < expected % 1 ? 1 : 0);
      traffic[entry] = (traffic[entry] ?? 0) * (1 - STEP_MS / TRAFFIC_TIME_CONSTANT_MS) + arrivals;
      for (let n = 0; n < arrivals; n += 1) {
        requested += 1;
        const first = Math.floor(random() * endpoints);
        for (let i = 0; i < endpoints; i += 1) {
          const endpoint = (first + i) % endpoints;
          const share = policy({
            limitPerS,
            entries,
            knownEntries: countKnownEntries(scenario, entry),
            entry,
            ringPosition: endpoint / endpoints,
            trafficShare: total === 0 ? 1 / entries : (publishedTraffic[entry] ?? 0) / total,
            isIsolated: atMs < (scenario.strangersS ?? 0) * 1000,
          });
          const bucket = buckets[entry]?.[endpoint];
          if (!bucket || bucket.nextTokenAtMs(share, atMs) > atMs) continue;
          bucket.consume(share, atMs);
          sent += 1;
          if (entry < entries - (scenario.unseen ?? 0)) sentAtMs[endpoint]?.push(atMs);
          break;
        }
      }
    }
  }
  const attainable = Math.min(requested, endpoints * limitPerS * seconds);
  return { maxInWindow: Math.max(...sentAtMs.map(countMaxInWindow)), usedShare: sent / attainable };
}
