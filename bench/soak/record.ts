/**
 * Record of one soak run: what callers and endpoints observed, and the disturbances of the system.
 */
import type {
  AbandonedRequest,
  EndpointArrival,
  EndpointSignal,
  EndpointSurplus,
  EndpointExecution,
} from '../../fakes/platform-engine/index.js';

/** Deadline that callers send with each request unless the scenario sets another, ms. */
export const DEADLINE_MS = 3000;

/**
 * Kinds of request, as defined by their routes; a `single-attempt` may reach one endpoint only, a `single-stream` may
 * not be resumed.
 */
export type RequestKind = 'once' | 'single-attempt' | 'repeatable' | 'stream' | 'single-stream';

/** How a request ended: with a response, part of one, or none. */
export interface RequestOutcome {
  readonly atMs: number;
  /** 0 if the connection ended before the response head. */
  readonly status: number;
  readonly isSigned: boolean;
  readonly body: string;
  /** Whether the HTTP framing of the response was complete. */
  readonly isComplete: boolean;
}

/** One request of a caller. Times are in ms since the start of the run. */
export interface CallerRequest {
  readonly id: string;
  readonly kind: RequestKind;
  readonly path: string;
  readonly body: string;
  readonly key: string;
  readonly entry: string;
  readonly sentAtMs: number;
  readonly deadlineMs: number;
  outcome: RequestOutcome | undefined;
}

/** A fault or planned operation and its time span. */
export interface Disturbance {
  readonly kind: string;
  /** Name of the affected instance or endpoint; `store` for the store itself. */
  readonly target: string;
  readonly fromMs: number;
  untilMs: number;
}

/** A crash of an endpoint caused by a request that it began to run. */
export interface EndpointCrash {
  /** Path of such requests; with a slash at its end, the prefix of their paths. */
  readonly path: string;
  readonly atMs: number;
}

/**
 * Whether requests to a path crash endpoints as those of a crash did.
 * @example isCausedBy('/again/part-1/', '/again/part-1/q-7') // true
 */
export function isCausedBy(crashingPath: string, path: string): boolean {
  return crashingPath.endsWith('/') ? path.startsWith(crashingPath) : path === crashingPath;
}

/** Removal of a key, a route or an endpoint. */
export interface Removal {
  readonly resource: 'key' | 'route' | 'endpoint';
  readonly name: string;
  /** Time at which the store held the change. */
  readonly atMs: number;
}

/** A time span in which an endpoint sent a rate limit in its responses. */
export interface RateLimitPeriod {
  readonly endpoint: string;
  readonly limitPerS: number;
  readonly fromMs: number;
  untilMs: number;
}

/** A route that was added during the run. */
export interface AddedRoute {
  readonly prefix: string;
  /** Time at which the store held the change. */
  readonly atMs: number;
}

/** An answer that an endpoint gave up because the entry did not read it. */
export interface UnreadAnswer {
  readonly endpoint: string;
  readonly fromMs: number;
  readonly atMs: number;
}

/** Everything recorded in one run. */
export interface SoakRecord {
  readonly seed: number;
  /** Wall-clock time from which the others are counted. */
  readonly startedAt: string;
  readonly requests: readonly CallerRequest[];
  readonly runs: readonly EndpointExecution[];
  /** All requests that reached endpoints, whether run or not. */
  readonly arrivals: readonly EndpointArrival[];
  /** Responses in which endpoints sent backpressure signals. */
  readonly signals: readonly EndpointSignal[];
  /** Responses that endpoints sent in the place of another request's. */
  readonly surplus: readonly EndpointSurplus[];
  readonly rateLimitPeriods: readonly RateLimitPeriod[];
  readonly disturbances: readonly Disturbance[];
  readonly removals: readonly Removal[];
  readonly addedRoutes: readonly AddedRoute[];
  readonly crashes: readonly EndpointCrash[];
  readonly unreadAnswers: readonly UnreadAnswer[];
  /** Requests whose connection an entry closed while the endpoint was at work on them. */
  readonly abandoned: readonly AbandonedRequest[];
  /** Organisation by key; keys that were never issued are missing. */
  readonly organisations: Readonly<Record<string, string>>;
  /** Steps that the ranks of a group began with different maps. */
  readonly mixedSteps: readonly number[];
  readonly longestHoldMs: number;
  /** Instances that exited by themselves, or with a code other than 0 after SIGTERM. */
  readonly unexpectedExits: readonly string[];
  /** Time from which on nothing was disturbed. */
  readonly faultsEndedAtMs: number;
}
