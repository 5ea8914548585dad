/** Simulates callers of a group whose entries share its slots, in virtual time. */
import { seededRandom } from '../../../src/core/clock/index.js';
import { SlotQueue } from '../../../src/gateway/groups/slot-queue.js';
import { ENGINE_INFO } from '../../fixtures/engine.js';

const TICK_MS = 10;

/** What is simulated. */
export interface SlotSimulation {
  readonly seed: number;
  readonly ranks: number;
  readonly entries: number;
  readonly perSecond: number;
  readonly streamMs: number;
  readonly durationMs: number;
  /** Entries receive every `everyMs` the load of the group of `ageMs` before. */
  readonly everyMs: number;
  readonly ageMs: number;
  /** The entry that a caller comes to at a time; a retry comes to any entry. */
  readonly entryOf?: (nowMs: number, random: () => number) => number;
}

/** A request at an entry. */
export interface SimulatedCall {
  readonly atMs: number;
  readonly isRetry: boolean;
  readonly isAdmitted: boolean;
  /** Streams of the group before it. */
  readonly running: number;
}

/** What happened. */
export interface SimulatedCalls {
  readonly calls: readonly SimulatedCall[];
  /** Streams of the group at each tick, and the time of that tick, ms. */
  readonly streams: readonly { readonly atMs: number; readonly running: number }[];
}

/**
 * Simulates callers at the entries of a group; refused callers retry once, after 1 to 2.5 s.
 * @example simulateSlots({ ...options, seed: 1 }).calls.filter((call) => !call.isAdmitted)
 */
export function simulateSlots(options: SlotSimulation): SimulatedCalls {
  const { ranks, entries, perSecond, streamMs, everyMs, ageMs } = options;
  const random = seededRandom(options.seed);
  const anyEntry = (): number => Math.floor(random() * entries);
  let nowMs = 0;
  const clock = { nowMs: () => nowMs, wallMs: () => nowMs };
  const history: number[] = [];
  let latest = { ranks, running: 0, entries, countedAtMs: 0 };
  const queues = Array.from(
    { length: entries },
    () => new SlotQueue({ clock, engine: () => ENGINE_INFO, size: () => latest }),
  );
  const due = new Map<number, (() => void)[]>();
  const after = (ms: number, run: () => void): void => {
    const at = Math.floor((nowMs + ms) / TICK_MS) * TICK_MS;
    due.set(at, [...(due.get(at) ?? []), run]);
  };
  let running = 0;
  const calls: SimulatedCall[] = [];
  const streams: { atMs: number; running: number }[] = [];
  const call = (isRetry: boolean): void => {
    const entry = isRetry ? anyEntry() : (options.entryOf?.(nowMs, random) ?? anyEntry());
    const { queue } = queues[entry] as SlotQueue;
    const isAdmitted = queue.tryAcquire(false);
    calls.push({ atMs: nowMs, isRetry, isAdmitted, running });
    if (isAdmitted) {
      running += 1;
      return after(streamMs, () => {
        running -= 1;
        queue.release();
      });
    }
    if (!isRetry) after(1000 + 1500 * random(), () => call(true));
  };
  for (; nowMs < options.durationMs; nowMs += TICK_MS) {
    for (const run of due.get(nowMs) ?? []) run();
    due.delete(nowMs);
    for (let expected = (perSecond * TICK_MS) / 1000; expected > 0; expected -= 1)
      if (random() < expected) call(false);
    history.push(running);
    if (nowMs % everyMs === 0) {
      const countedAtMs = Math.max(0, nowMs - ageMs);
      latest = { ...latest, running: history[countedAtMs / TICK_MS] ?? 0, countedAtMs };
    }
    streams.push({ atMs: nowMs, running });
  }
  return { calls, streams };
}
