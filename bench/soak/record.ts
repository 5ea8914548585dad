/** What one soak run saw from outside the system: the callers' and the endpoints' side, and what was done to it. */
import type {
  EndpointArrival,
  EndpointAsked,
  EndpointRun,
} from '../../fakes/platform-engine/index.js';

/** Kinds of request, as their routes say. */
export type AskKind = 'once' | 'repeatable' | 'stream';

/** How an answer came, or that none did. */
export interface AskEnd {
  readonly atMs: number;
  /** 0 when the connection ended without a head. */
  readonly status: number;
  readonly isSigned: boolean;
  readonly body: string;
  /** Whether the answer was framed as whole. */
  readonly isComplete: boolean;
}

/** One request of a caller. Times are ms from the start of the run. */
export interface Ask {
  readonly id: string;
  readonly kind: AskKind;
  readonly path: string;
  readonly body: string;
  readonly key: string;
  readonly entry: string;
  readonly sentAtMs: number;
  end: AskEnd | undefined;
}

/** Something that was done to the system. */
export interface Disturbance {
  readonly kind: string;
  /** Instance or endpoint that it struck; `store` for the store itself. */
  readonly target: string;
  readonly fromMs: number;
  untilMs: number;
}

/** An endpoint that fell by a request that it began to run. */
export interface Fall {
  readonly path: string;
  readonly atMs: number;
}

/** A key, a route or an endpoint that was taken away. */
export interface Withdrawal {
  readonly what: 'key' | 'route' | 'endpoint';
  readonly name: string;
  /** When the store had taken it. */
  readonly atMs: number;
}

/** A span in which an endpoint named a limit in its answers. */
export interface Need {
  readonly endpoint: string;
  readonly limitPerS: number;
  readonly fromMs: number;
  untilMs: number;
}

/** A route that was added. */
export interface Addition {
  /** Its path prefix. */
  readonly prefix: string;
  /** When the store had taken it. */
  readonly atMs: number;
}

/** One whole run. */
export interface SoakRecord {
  readonly seed: number;
  readonly asks: readonly Ask[];
  readonly runs: readonly EndpointRun[];
  /** All that came to endpoints, run or not, and the answers in which they asked for something. */
  readonly arrivals: readonly EndpointArrival[];
  readonly asked: readonly EndpointAsked[];
  readonly needs: readonly Need[];
  readonly disturbances: readonly Disturbance[];
  readonly withdrawals: readonly Withdrawal[];
  readonly additions: readonly Addition[];
  readonly falls: readonly Fall[];
  /** Organisation by key; keys that never were one are missing. */
  readonly organisations: Readonly<Record<string, string>>;
  /** Steps that a group began with different maps. */
  readonly mixedSteps: readonly number[];
  readonly longestHoldMs: number;
  /** Instances that ended by themselves, or not with 0 after they were told to stop. */
  readonly badEnds: readonly string[];
  /** From when on nothing was disturbed any more. */
  readonly calmFromMs: number;
}
