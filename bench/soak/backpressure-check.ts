/**
 * Checks from the requests that reached endpoints whether entries followed backpressure signals.
 */
import type { EndpointArrival, EndpointSignal } from '../../fakes/platform-engine/index.js';
import type { Disturbance, SoakRecord } from './record.js';

/** Time after a response in which requests already in flight may still arrive, ms. */
const IN_FLIGHT_MS = 500;
/** Requests from one entry that may arrive during a backoff. */
const MAX_DURING_BACKOFF = 2;
/** Time after which an endpoint that signals leaving must get no new requests, ms. */
const LEAVING_APPLY_MS = 2000;
/** Time from the first response with a rate limit until it must be enforced, ms. */
const LIMIT_APPLY_MS = 3000;
const LIMIT_WINDOW_MS = 4000;
/** Requests allowed in a window: this multiple of the limit, plus LIMIT_ALLOWANCE. */
const LIMIT_FACTOR = 1.5;
const LIMIT_ALLOWANCE = 5;

/** The entry a request was sent to, and the send time. */
interface SentRequest {
  readonly entry: string;
  readonly sentAtMs: number;
}

/** Looks up the entry and send time of a request by its ID. */
class RecordIndex {
  private readonly requests: ReadonlyMap<string, SentRequest>;

  constructor(readonly record: SoakRecord) {
    this.requests = new Map(record.requests.map((request) => [request.id, request]));
  }

  entryOf({ requestId }: EndpointArrival): string {
    return this.requests.get(requestId)?.entry ?? '';
  }

  sentAtMs({ requestId }: EndpointArrival): number {
    return this.requests.get(requestId)?.sentAtMs ?? Number.NEGATIVE_INFINITY;
  }

  /** Whether an entry, or the link to an endpoint, was disturbed in a time span. */
  wasDisturbed(entry: string, endpoint: string, fromMs: number, untilMs: number): boolean {
    const affects = ({ target }: Disturbance): boolean => target === entry || target === endpoint;
    return this.record.disturbances.some(
      (d) => affects(d) && d.fromMs < untilMs && d.untilMs > fromMs,
    );
  }
}

/**
 * Here and below, a violation is ignored if the entry was restarted, suspended or cut off since the
 * signal.
 */
function checkBackoffs(
  index: RecordIndex,
  signals: readonly EndpointSignal[],
  arrivals: readonly EndpointArrival[],
): string[] {
  return signals.flatMap((backoff) => {
    if (backoff.retryAfterMs === undefined) return [];
    const entry = index.entryOf(backoff);
    const untilMs = backoff.atMs + backoff.retryAfterMs;
    const late = arrivals.filter(
      (a) => a.atMs > backoff.atMs + IN_FLIGHT_MS && a.atMs < untilMs && index.entryOf(a) === entry,
    );
    if (late.length <= MAX_DURING_BACKOFF) return [];
    if (index.wasDisturbed(entry, backoff.endpoint, backoff.atMs, untilMs)) return [];
    return [
      `${backoff.endpoint}: asked ${entry} for ${backoff.retryAfterMs} ms of backoff at ${Math.round(backoff.atMs)} ms, got ${late.length} requests during it`,
    ];
  });
}

function checkLeaving(
  index: RecordIndex,
  signals: readonly EndpointSignal[],
  arrivals: readonly EndpointArrival[],
): string[] {
  const firstNotices = new Map<string, EndpointSignal>();
  for (const a of signals) {
    const entry = index.entryOf(a);
    if (a.isLeaving && !firstNotices.has(entry)) firstNotices.set(entry, a);
  }
  return arrivals.flatMap((a) => {
    const entry = index.entryOf(a);
    const notice = firstNotices.get(entry);
    if (!notice || index.sentAtMs(a) <= notice.atMs + LEAVING_APPLY_MS) return [];
    if (index.wasDisturbed(entry, a.endpoint, notice.atMs, a.atMs)) return [];
    return [
      `${a.requestId}: sent to ${a.endpoint} by ${entry}, which had received its leaving signal`,
    ];
  });
}

function checkRateLimits(
  index: RecordIndex,
  signals: readonly EndpointSignal[],
  arrivals: readonly EndpointArrival[],
): string[] {
  const endpoint = signals[0]?.endpoint;
  const periods = index.record.rateLimitPeriods.filter((period) => period.endpoint === endpoint);
  return periods.flatMap(({ limitPerS, ...period }) => {
    const limitSignals = signals.filter(
      ({ atMs }) => atMs >= period.fromMs && atMs <= period.untilMs,
    );
    const first = limitSignals[0];
    if (!first) return [];
    const limitReceivedAtMs = new Map<string, number>();
    for (const a of limitSignals) {
      const entry = index.entryOf(a);
      if (!limitReceivedAtMs.has(entry)) limitReceivedAtMs.set(entry, a.atMs);
    }
    const counted = arrivals.filter((a) => {
      const entry = index.entryOf(a);
      const receivedAtMs = limitReceivedAtMs.get(entry) ?? Number.POSITIVE_INFINITY;
      if (a.atMs < first.atMs + LIMIT_APPLY_MS || a.atMs > period.untilMs) return false;
      if (a.atMs < receivedAtMs + IN_FLIGHT_MS) return false;
      return !index.wasDisturbed(entry, a.endpoint, period.fromMs, a.atMs);
    });
    const highestCount = Math.max(
      0,
      ...counted.map(
        ({ atMs }) =>
          counted.filter((b) => b.atMs >= atMs && b.atMs < atMs + LIMIT_WINDOW_MS).length,
      ),
    );
    const allowed = (LIMIT_FACTOR * limitPerS * LIMIT_WINDOW_MS) / 1000 + LIMIT_ALLOWANCE;
    if (highestCount <= allowed) return [];
    return [
      `${endpoint}: sent a limit of ${limitPerS}/s at ${Math.round(first.atMs)} ms, got ${highestCount} requests in 4 s, ${allowed} allowed`,
    ];
  });
}

function byEndpoint<T extends EndpointArrival>(items: readonly T[]): Map<string, T[]> {
  const groups = new Map<string, T[]>();
  for (const item of items) {
    const group = groups.get(item.endpoint);
    if (group) group.push(item);
    else groups.set(item.endpoint, [item]);
  }
  return groups;
}

/**
 * Describes each violation of a backpressure signal.
 * @example checkBackpressure(record) // []
 */
export function checkBackpressure(record: SoakRecord): string[] {
  const index = new RecordIndex(record);
  const arrivalsByEndpoint = byEndpoint(record.arrivals);
  return [...byEndpoint(record.signals)].flatMap(([endpoint, signals]) => {
    const arrivals = arrivalsByEndpoint.get(endpoint) ?? [];
    return [checkBackoffs, checkLeaving, checkRateLimits].flatMap((check) =>
      check(index, signals, arrivals),
    );
  });
}
