/**
 * Admission queue for a limited number of slots; a request that cannot get one in time is refused
 * at once.
 *
 * Returning callers wait in a queue of their own for as long as a slot in time is expected. Its length is bounded
 * by the slots expected to be left over by first tries, which depends on each caller's place.
 */
import { poissonTail } from './poisson.js';

/**
 * Maximum number of waiting requests ahead of a new one, as a share of the slots. About as many
 * slots come free in a tenth of a second; most of a longer queue would wait in vain. Requests with
 * a higher order do not count.
 */
const MAX_AHEAD_SHARE = 0.25;
/** Probability of a slot in time below which a first try is refused at once. */
const MIN_FIRST_TRY_CHANCE = 0.05;

/** Part of the prospects needed to join the queue below which a waiting caller is refused: estimates vary. */
const KEPT_PROSPECT_SHARE = 0.5;
/** Time before its last chance at which a returning caller may go before first tries, ms. */
const LAST_CHANCE_MS = 400;
/** Interval at which the prospects of waiting callers are reviewed, ms. */
const REVIEW_INTERVAL_MS = 100;

interface Waiter {
  readonly order: number;
  readonly settle: (granted: boolean) => void;
}

/** How the wait of a returning caller ended. */
export type ReturnOutcome = 'granted' | 'no-prospect' | 'too-late' | 'gone';

/** Terms of a returning caller. */
export interface ReturningTerms {
  /** Lower goes first, equal ones in order of arrival. */
  readonly order: number;
  /** Time after which a slot is of no use to it, ms. */
  readonly waitMs: number;
}

interface ReturningWaiter {
  readonly order: number;
  readonly lastChanceAtMs: number;
  readonly settle: (outcome: ReturnOutcome) => void;
}

/** What the queue needs to know to hold returning callers; decides nothing itself. */
export interface ReturnProspects {
  readonly nowMs: () => number;
  /** Slots expected to be left over by first tries within a time; 0 if the group is not expected to serve by then. */
  readonly expectedSlots: (withinMs: number) => number;
  /** Expected slots that a returning caller needs for each place in the queue up to its own. */
  readonly slotsPerPlace: () => number;
  /** Releases a second while all slots are taken; undefined while unknown. */
  readonly releasesPerS: () => number | undefined;
  /** Free slots kept for first tries. */
  readonly reservedSlots: () => number;
  /** Whether the group serves; during an outage no slot is granted to returning callers. */
  readonly isServing: () => boolean;
  /** Part of all grants that may go to returning callers at their last chance, before first tries. */
  readonly lastChanceShare: () => number;
}

/** Runs a function after a time; the result cancels it. */
export type SetTimer = (run: () => void, ms: number) => () => void;

const systemTimer: SetTimer = (run, ms) => {
  const timer = setTimeout(run, ms);
  return () => clearTimeout(timer);
};

/** Slots of one service at one entry. */
export class WaitQueue {
  private taken = 0;
  private readonly waiting: Waiter[] = [];
  private readonly returning: ReturningWaiter[] = [];
  /** Grants before first tries that returning callers may use, at most one. */
  private lastChanceCredit = 0;
  private isReviewing = false;

  /**
   * @param capacity number of slots, evaluated at each decision
   * @param onChange called with the number of slots taken whenever it changes
   * @param prospects estimates for returning callers; without them none may wait
   */
  constructor(
    private readonly capacity: () => number,
    private readonly onChange: (taken: number) => void = () => undefined,
    private readonly prospects?: ReturnProspects,
    private readonly setTimer: SetTimer = systemTimer,
  ) {}

  /** Slots taken now. */
  get running(): number {
    return this.taken;
  }

  /** Requests that wait for a slot. */
  get queued(): number {
    return this.waiting.length + this.returning.length;
  }

  /** Returning callers that wait for a slot. */
  get queuedReturning(): number {
    return this.returning.length;
  }

  /**
   * Takes a slot, waiting for up to `waitMs`; false if none comes free in time or the signal aborts.
   * A slot that was taken must be returned with `release`. Requests with a lower order go first.
   * @example if (!(await queue.acquire(0, 60, signal))) return refuse();
   */
  acquire(order: number, waitMs: number, signal: AbortSignal): Promise<boolean> {
    return untilSettled(signal, (settle) => this.enter(order, waitMs, settle));
  }

  /**
   * As `acquire`, with a callback, which may be called at once; the result abandons the wait.
   * @example const abandon = queue.enter(0, 60, (granted) => (granted ? send() : refuse()));
   */
  enter(order: number, waitMs: number, settle: (granted: boolean) => void): () => void {
    // The capacity may have grown since the waiting requests were queued.
    this.grantFreeSlots();
    const behind = this.waiting.findIndex((other) => other.order > order);
    const ahead = behind < 0 ? this.waiting.length : behind;
    if (this.taken < this.capacity()) {
      this.adjust(1);
      settle(true);
      return () => undefined;
    }
    if (!this.mayWait(ahead, waitMs)) {
      settle(false);
      return () => undefined;
    }
    return this.enqueueAt(ahead, order, waitMs, settle);
  }

  private mayWait(ahead: number, waitMs: number): boolean {
    if (ahead >= Math.max(1, Math.ceil(this.capacity() * MAX_AHEAD_SHARE))) return false;
    const perS = this.prospects?.releasesPerS();
    if (perS === undefined || ahead === 0) return true;
    return poissonTail(ahead + 1, (perS * waitMs) / 1000) >= MIN_FIRST_TRY_CHANCE;
  }

  /**
   * Takes a slot for a returning caller, which waits as long as one is expected in time.
   * @example if ((await queue.acquireReturning({ order: 1, waitMs: 3500 }, signal)) !== 'granted') return refuse();
   */
  acquireReturning(terms: ReturningTerms, signal: AbortSignal): Promise<ReturnOutcome> {
    return untilSettled(signal, (settle) => this.enterReturning(terms, settle));
  }

  /**
   * As `acquireReturning`, with a callback, which may be called at once; the result abandons the wait.
   * @example queue.enterReturning({ order: 1, waitMs: 3500 }, (outcome) => finish(outcome));
   */
  enterReturning(
    { order, waitMs }: ReturningTerms,
    settle: (outcome: ReturnOutcome) => void,
  ): () => void {
    const { prospects } = this;
    if (!prospects) throw new Error('returning callers may wait only in a queue with prospects');
    this.grantFreeSlots();
    const behind = this.returning.findIndex((other) => other.order > order);
    const ahead = behind < 0 ? this.returning.length : behind;
    if (ahead === 0 && this.hasSlotForReturning(prospects)) {
      this.adjust(1);
      settle('granted');
      return () => undefined;
    }
    if (waitMs <= 0 || prospects.expectedSlots(waitMs) < (ahead + 1) * prospects.slotsPerPlace()) {
      settle('no-prospect');
      return () => undefined;
    }
    return this.enqueueReturning(ahead, order, prospects.nowMs() + waitMs, settle);
  }

  /**
   * Takes a slot without waiting; false if none is free. With `force` it exceeds the capacity if
   * need be.
   * @example if (queue.tryAcquire(false)) proceed();
   */
  tryAcquire(force: boolean): boolean {
    if (!force && this.taken >= this.capacity()) return false;
    this.adjust(1);
    return true;
  }

  private adjust(delta: 1 | -1): void {
    this.taken += delta;
    this.onChange(this.taken);
  }

  private enqueueAt(
    position: number,
    order: number,
    waitMs: number,
    settle: (granted: boolean) => void,
  ): () => void {
    const abandon = (): void => waiter.settle(false);
    const cancelTimer = this.setTimer(abandon, waitMs);
    const waiter: Waiter = {
      order,
      settle: (granted) => {
        const index = this.waiting.indexOf(waiter);
        if (index < 0) return;
        this.waiting.splice(index, 1);
        cancelTimer();
        settle(granted);
      },
    };
    this.waiting.splice(position, 0, waiter);
    return abandon;
  }

  private enqueueReturning(
    position: number,
    order: number,
    lastChanceAtMs: number,
    settle: (outcome: ReturnOutcome) => void,
  ): () => void {
    const waiter: ReturningWaiter = {
      order,
      lastChanceAtMs,
      settle: (outcome) => {
        const index = this.returning.indexOf(waiter);
        if (index < 0) return;
        this.returning.splice(index, 1);
        settle(outcome);
      },
    };
    this.returning.splice(position, 0, waiter);
    this.scheduleReview();
    return () => waiter.settle('gone');
  }

  private scheduleReview(): void {
    if (this.isReviewing) return;
    this.isReviewing = true;
    this.setTimer(() => {
      this.isReviewing = false;
      this.review();
      if (this.returning.length > 0) this.scheduleReview();
    }, REVIEW_INTERVAL_MS);
  }

  /** Grants free slots, and refuses the returning callers for which no slot in time is expected any more. */
  review(): void {
    const { prospects } = this;
    if (!prospects) return;
    this.grantFreeSlots();
    const nowMs = prospects.nowMs();
    const slotsPerPlace = prospects.slotsPerPlace();
    let place = 0;
    for (const waiter of [...this.returning]) {
      const leftMs = waiter.lastChanceAtMs - nowMs;
      const needed = (place + 1) * slotsPerPlace * KEPT_PROSPECT_SHARE;
      if (leftMs <= 0) waiter.settle('too-late');
      else if (prospects.expectedSlots(leftMs) < needed) waiter.settle('no-prospect');
      else place += 1;
    }
  }

  /** Returns a slot, which goes to the first waiting request. */
  release(): void {
    this.adjust(-1);
    this.grantFreeSlots();
  }

  /** Grants free slots to waiting requests; to be called when the capacity has grown. */
  grantFreeSlots(): void {
    while (this.taken < this.capacity() && this.grantNext());
  }

  private grantNext(): boolean {
    const lastChance = this.waiting.length > 0 ? this.takeLastChance() : undefined;
    const firstTry = this.waiting[0];
    if (lastChance) return this.grant(() => lastChance.settle('granted'));
    if (firstTry) return this.grant(() => firstTry.settle(true));
    const next = this.returning[0];
    if (!next || !this.prospects || !this.hasSlotForReturning(this.prospects)) return false;
    return this.grant(() => next.settle('granted'));
  }

  private grant(settle: () => void): true {
    this.adjust(1);
    settle();
    return true;
  }

  private hasSlotForReturning(prospects: ReturnProspects): boolean {
    if (!prospects.isServing()) return false;
    return this.capacity() - this.taken > prospects.reservedSlots();
  }

  /** The returning caller that may go before a waiting first try now, if any. */
  private takeLastChance(): ReturningWaiter | undefined {
    const { prospects } = this;
    if (!prospects || this.returning.length === 0 || !prospects.isServing()) return undefined;
    this.lastChanceCredit = Math.min(1, this.lastChanceCredit + prospects.lastChanceShare());
    if (this.lastChanceCredit < 1) return undefined;
    const untilMs = prospects.nowMs() + LAST_CHANCE_MS;
    const due = this.returning.find((waiter) => waiter.lastChanceAtMs <= untilMs);
    if (due) this.lastChanceCredit -= 1;
    return due;
  }
}

/** Promise of what `enter` settles with; `enter` returns how to abandon the wait. */
function untilSettled<T>(
  signal: AbortSignal,
  enter: (settle: (value: T) => void) => () => void,
): Promise<T> {
  return new Promise((resolve) => {
    const handle: { abandon?: () => void } = {};
    const onAbort = (): void => handle.abandon?.();
    signal.addEventListener('abort', onAbort, { once: true });
    handle.abandon = enter((value) => {
      signal.removeEventListener('abort', onAbort);
      resolve(value);
    });
  });
}
