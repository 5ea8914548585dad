/** Whether what endpoints asked for in their answers was heeded, from what came to them. */
import type { EndpointArrival, EndpointAsked } from '../../fakes/platform-engine/index.js';
import type { Disturbance, SoakRecord } from './record.js';

/** Time after an answer in which what was under way may still come, ms. */
const UNDER_WAY_MS = 500;
/** Requests that may come within a rest. */
const MOST_IN_REST = 2;
/** Time after which an endpoint that says that it leaves gets nothing new, ms. */
const LEAVING_MS = 2000;
/** Time after the first answer with a limit from which it binds, ms. */
const LIMIT_FROM_MS = 3000;
const LIMIT_WINDOW_MS = 4000;
/** Most that may come in a window, as a multiple of what the limit allows, and beyond it. */
const LIMIT_FACTOR = 1.5;
const LIMIT_EXTRA = 5;

/** Which entry a request was sent to, and when. */
interface At {
  readonly entry: string;
  readonly sentAtMs: number;
}

/** A record, looked up by the request that something came with. */
class Seen {
  private readonly entries: ReadonlyMap<string, At>;

  constructor(readonly record: SoakRecord) {
    this.entries = new Map(record.asks.map((ask) => [ask.id, ask]));
  }

  entryOf({ requestId }: EndpointArrival): string {
    return this.entries.get(requestId)?.entry ?? '';
  }

  sentAtMs({ requestId }: EndpointArrival): number {
    return this.entries.get(requestId)?.sentAtMs ?? Number.NEGATIVE_INFINITY;
  }

  /** Whether an entry, or the way to an endpoint, was disturbed in a span. */
  isExcused(entry: string, endpoint: string, fromMs: number, untilMs: number): boolean {
    const strikes = ({ target }: Disturbance): boolean => target === entry || target === endpoint;
    return this.record.disturbances.some(
      (d) => strikes(d) && d.fromMs < untilMs && d.untilMs > fromMs,
    );
  }
}

/** A restart, freeze or cut of the entry since then excuses it, here and below. */
function restsAreHeeded(
  seen: Seen,
  asked: readonly EndpointAsked[],
  came: readonly EndpointArrival[],
): string[] {
  return asked.flatMap((rest) => {
    if (rest.restMs === undefined) return [];
    const entry = seen.entryOf(rest);
    const untilMs = rest.atMs + rest.restMs;
    const late = came.filter(
      (a) => a.atMs > rest.atMs + UNDER_WAY_MS && a.atMs < untilMs && seen.entryOf(a) === entry,
    );
    if (late.length <= MOST_IN_REST) return [];
    if (seen.isExcused(entry, rest.endpoint, rest.atMs, untilMs)) return [];
    return [
      `${rest.endpoint}: asked ${entry} for ${rest.restMs} ms of rest at ${Math.round(rest.atMs)}, and got ${late.length} requests in it`,
    ];
  });
}

function leavingGetNothing(
  seen: Seen,
  asked: readonly EndpointAsked[],
  came: readonly EndpointArrival[],
): string[] {
  const firstTold = new Map<string, EndpointAsked>();
  for (const a of asked) {
    const entry = seen.entryOf(a);
    if (a.isLeaving && !firstTold.has(entry)) firstTold.set(entry, a);
  }
  return came.flatMap((a) => {
    const entry = seen.entryOf(a);
    const told = firstTold.get(entry);
    if (!told || seen.sentAtMs(a) <= told.atMs + LEAVING_MS) return [];
    if (seen.isExcused(entry, a.endpoint, told.atMs, a.atMs)) return [];
    return [
      `${a.requestId}: came to ${a.endpoint} by ${entry}, which had been told that it leaves`,
    ];
  });
}

function limitsAreHeeded(
  seen: Seen,
  asked: readonly EndpointAsked[],
  came: readonly EndpointArrival[],
): string[] {
  const endpoint = asked[0]?.endpoint;
  const needs = seen.record.needs.filter((need) => need.endpoint === endpoint);
  return needs.flatMap(({ limitPerS, ...need }) => {
    const named = asked.filter(({ atMs }) => atMs >= need.fromMs && atMs <= need.untilMs);
    const first = named[0];
    if (!first) return [];
    const toldAtMs = new Map<string, number>();
    for (const a of named) {
      const entry = seen.entryOf(a);
      if (!toldAtMs.has(entry)) toldAtMs.set(entry, a.atMs);
    }
    const counted = came.filter((a) => {
      const entry = seen.entryOf(a);
      const told = toldAtMs.get(entry) ?? Number.POSITIVE_INFINITY;
      if (a.atMs < first.atMs + LIMIT_FROM_MS || a.atMs > need.untilMs) return false;
      if (a.atMs < told + UNDER_WAY_MS) return false;
      return !seen.isExcused(entry, a.endpoint, need.fromMs, a.atMs);
    });
    const most = Math.max(
      0,
      ...counted.map(
        ({ atMs }) =>
          counted.filter((b) => b.atMs >= atMs && b.atMs < atMs + LIMIT_WINDOW_MS).length,
      ),
    );
    const allowed = (LIMIT_FACTOR * limitPerS * LIMIT_WINDOW_MS) / 1000 + LIMIT_EXTRA;
    if (most <= allowed) return [];
    return [
      `${endpoint}: named a limit of ${limitPerS}/s at ${Math.round(first.atMs)}, and got ${most} requests in 4 s, ${allowed} allowed`,
    ];
  });
}

function byEndpoint<T extends EndpointArrival>(items: readonly T[]): Map<string, T[]> {
  const found = new Map<string, T[]>();
  for (const item of items) {
    const known = found.get(item.endpoint);
    if (known) known.push(item);
    else found.set(item.endpoint, [item]);
  }
  return found;
}

/**
 * Violations of what endpoints asked for, in words.
 * @example asksAreHeeded(record) // []
 */
export function asksAreHeeded(record: SoakRecord): string[] {
  const seen = new Seen(record);
  const arrivals = byEndpoint(record.arrivals);
  return [...byEndpoint(record.asked)].flatMap(([endpoint, asked]) => {
    const came = arrivals.get(endpoint) ?? [];
    return [restsAreHeeded, leavingGetNothing, limitsAreHeeded].flatMap((check) =>
      check(seen, asked, came),
    );
  });
}
