/** Simulates callers at entries before one group, in virtual time. Refused callers return once, to any entry. */
import { seededRandom } from '../../../src/core/clock/index.js';
import {
  queueTerms,
  returningWaitMs,
  WaitQueue,
  type ReturnOutcome,
  type SetTimer,
} from '../../../src/core/limits/index.js';
import { ReturnPlan } from '../../../src/core/retry-schedule/index.js';

const DEADLINE_MS = 8000;
const TARGET_MS = 403;
const GAP_MS = 120;
const MEAN_STREAM_MS = 1250;
const FIRST_EVENT_MS = 200;
/** Time for which a group stalls before its entries know of the outage. */
const STALL_MS = 1500;
/** Silence after which a caller gives up. */
const PATIENCE_MS = 2000;
const USUAL_RETRY_MS = { min: 1000, max: 2500 } as const;
const OUTAGE_RETRY_MS = { min: 2100, max: 2600 } as const;

/** Load of one run. */
export interface LoadCase {
  readonly entries: number;
  readonly slotsPerEntry: number;
  readonly durationMs: number;
  /** First tries a second at all entries, by time. */
  readonly perS: (atMs: number) => number;
  readonly outages?: readonly { readonly fromMs: number; readonly toMs: number }[];
  /** Share of refused callers that return at once. */
  readonly impatientShare?: number;
  /** Time at which the first entry loses its state. */
  readonly restartAtMs?: number;
}

/** What callers got: numbers of callers, and sums. */
export interface Tally {
  callers: number;
  inTime: number;
  late: number;
  refusedOnce: number;
  refusedTwice: number;
  /** Refused twice after more than 0.5 s in the queue. */
  heldAndRefused: number;
  heldInVainMs: number;
  /** Served too late for their stream to end by the deadline, or after they gave up. */
  tooLong: number;
  /** First refusals by the reason of their Retry-After. */
  usual: number;
  room: number;
  latest: number;
  /** Sum of values: 1 in time, 0.4 late, -0.3 and less the time held over 6 s if refused twice. */
  value: number;
}

interface Entry {
  readonly queue: WaitQueue;
  readonly plan: ReturnPlan;
}

/** Policy of an entry: before, with the queue of returning callers, or with the schedule as well. */
export type Policy = 'before' | 'queue' | 'schedule';

/** Runs one case. */
export function simulate(load: LoadCase, policy: Policy, seed: number): Tally {
  const random = seededRandom(seed);
  const tally: Tally = {
    callers: 0,
    inTime: 0,
    late: 0,
    refusedOnce: 0,
    refusedTwice: 0,
    heldAndRefused: 0,
    heldInVainMs: 0,
    tooLong: 0,
    usual: 0,
    room: 0,
    latest: 0,
    value: 0,
  };
  let nowMs = 0;
  const due = new Map<number, (() => void)[]>();
  const setTimer: SetTimer = (run, ms) => {
    let isCancelled = false;
    const at = Math.max(nowMs + 1, Math.round(nowMs + ms));
    const list = due.get(at) ?? [];
    list.push(() => isCancelled || run());
    due.set(at, list);
    return () => void (isCancelled = true);
  };
  const downForMs = (): number => {
    const outage = load.outages?.find(({ fromMs, toMs }) => nowMs >= fromMs && nowMs < toMs);
    return outage ? Math.max(1, nowMs - outage.fromMs - STALL_MS) : 0;
  };
  const createEntry = (): Entry => {
    const plan: ReturnPlan = new ReturnPlan({
      nowMs: () => nowMs,
      slotState: () => ({
        slots: load.slotsPerEntry,
        taken: queue.running,
        downForMs: downForMs(),
        queued: queue.queuedReturning,
      }),
    });
    const queue: WaitQueue = new WaitQueue(
      () => load.slotsPerEntry,
      (taken) => plan.noteTaken(taken),
      policy === 'before' ? undefined : plan,
      setTimer,
    );
    return { queue, plan };
  };
  const entries = Array.from({ length: load.entries }, createEntry);

  const call = (firstAtMs: number): void => {
    const entry = entries[Math.floor(random() * entries.length)] as Entry;
    const { queue, plan } = entry;
    const isReturning = firstAtMs < nowMs;
    const atMs = nowMs;
    const leftMs = DEADLINE_MS - (nowMs - firstAtMs);
    const serve = (): void => {
      const streamMs =
        Math.min(3000, -Math.log(1 - random()) * 0.5 * MEAN_STREAM_MS) + 0.5 * MEAN_STREAM_MS;
      const isLost =
        nowMs + streamMs > firstAtMs + DEADLINE_MS || nowMs + FIRST_EVENT_MS > atMs + PATIENCE_MS;
      if (isLost) tally.tooLong += 1;
      else if (nowMs - firstAtMs < TARGET_MS / 2) tally.inTime += 1;
      else tally.late += 1;
      if (!isLost) tally.value += nowMs - firstAtMs < TARGET_MS / 2 ? 1 : 0.4;
      else tally.value -= 0.3 + 1;
      setTimer(() => queue.release(), streamMs);
    };
    const refuse = (range: { min: number; max: number } = USUAL_RETRY_MS): void => {
      if (isReturning) {
        const heldMs = nowMs - atMs;
        tally.refusedTwice += 1;
        tally.value -= 0.3 + heldMs / (0.75 * DEADLINE_MS);
        if (heldMs > 500) tally.heldAndRefused += 1;
        tally.heldInVainMs += heldMs;
        return;
      }
      tally.refusedOnce += 1;
      const usualMs = (): number => range.min + random() * (range.max - range.min);
      const leftNowMs = DEADLINE_MS - (nowMs - firstAtMs);
      const planned =
        policy === 'schedule' && range === USUAL_RETRY_MS
          ? plan.planReturn({ leftMs: leftNowMs, usualMs }, random)
          : { retryAfterMs: usualMs(), why: 'usual' as const };
      tally[planned.why] += 1;
      const isImpatient = random() < (load.impatientShare ?? 0);
      const retryMs = isImpatient ? 20 : Math.min(leftNowMs / 3, planned.retryAfterMs);
      setTimer(() => call(firstAtMs), retryMs + 5);
    };
    const finish = (isGranted: boolean): void => {
      if (isReturning) plan.noteReturnEnded(isGranted);
      else if (!isGranted) plan.noteRefusedFirstTry();
      if (isGranted) serve();
      else refuse();
    };
    if (isReturning) plan.noteReturn();
    else {
      tally.callers += 1;
      plan.noteFirstTry(TARGET_MS / 8);
    }
    const { longStreamMs } = plan;
    const holds = policy !== 'before' && isReturning && longStreamMs !== undefined;
    const waitMs = holds
      ? returningWaitMs({ leftMs, targetMs: TARGET_MS, gapMs: GAP_MS, longStreamMs })
      : 0;
    if (downForMs() > 0 && !(holds && plan.expectedSlots(waitMs) > 0))
      return refuse(OUTAGE_RETRY_MS);
    if (holds) {
      const settle = (outcome: ReturnOutcome): void => finish(outcome === 'granted');
      return void queue.enterReturning({ order: 1, waitMs }, settle);
    }
    const terms = queueTerms({ isReturning, priority: 1, targetMs: TARGET_MS, leftMs });
    queue.enter(terms.order, terms.waitMs, finish);
  };

  for (; nowMs < load.durationMs + DEADLINE_MS + 4000; nowMs += 1) {
    if (nowMs === load.restartAtMs) entries[0] = createEntry();
    for (const run of due.get(nowMs) ?? []) run();
    due.delete(nowMs);
    if (nowMs >= load.durationMs) continue;
    for (let expected = load.perS(nowMs) / 1000; expected > 0; expected -= 1)
      if (random() < expected) call(nowMs);
  }
  return tally;
}
