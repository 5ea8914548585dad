/**
 * Time at which a refused caller should return: the soonest with room in the forecast, after first tries, callers that
 * wait already and returns promised before.
 */
import type { Random } from '../clock/index.js';
import { BIN_MS, type ForecastSummary } from './arrival-forecast.js';

/** Part of its remaining time that a refused caller waits before it returns. */
const MAX_RETURN_SHARE = 1 / 3;
/** Shortest time until a return, ms. */
const MIN_RETURN_MS = 500;
/** Spread of callers for which there is no room in time, ms. */
const LATEST_SPREAD_MS = 400;
/** Time after which a promised return that did not come counts as lapsed, ms. */
const LAPSE_MS = 1000;

/** Why a caller gets its Retry-After: the usual range, room expected then, or no room within its time. */
export type RetryReason = 'usual' | 'room' | 'latest';

/** A refused caller. */
export interface RefusedCaller {
  /** Time until its deadline, ms. */
  readonly leftMs: number;
  /** Returns the usual time until a return, ms. */
  readonly usualMs: () => number;
}

/** What is known of the group when a caller is refused. */
export interface RoomForecast {
  readonly nowMs: number;
  readonly forecast: ForecastSummary;
  /** First tries a second expected after a time. */
  readonly firstTriesPerS: (aheadMs: number) => number;
  /** Mean time for which a slot is held, ms; undefined while unknown. */
  readonly holdMs: number | undefined;
  readonly slots: number;
  /** Free slots beyond the reserve. */
  readonly free: number;
  readonly reserved: number;
  /** Returning callers that wait for a slot. */
  readonly queued: number;
}

/** When a caller should return, and why then. */
export interface PlannedReturn {
  readonly retryAfterMs: number;
  readonly why: RetryReason;
  /** First tries a second expected at that time, and the error of the forecast. */
  readonly forecastPerS: number;
  readonly errorPerS: number | undefined;
  /** Returns promised for the same half second before. */
  readonly promised: number;
  /** Slots expected to be free for one more at that time. */
  readonly room: number;
}

interface RoomAt {
  readonly atMs: number;
  readonly room: number;
}

/** Promised returns of one group at one entry. Times are monotonic ms. */
export class ReturnSchedule {
  /** Promised returns by bin of time. */
  private readonly promised = new Map<number, number>();
  /** Promised returns that came about when they were due, and those that did not. */
  kept = 0;
  lapsed = 0;

  /** Promised returns that are not due yet. */
  get outstanding(): number {
    return [...this.promised.values()].reduce((sum, count) => sum + count, 0);
  }

  /**
   * Plans and promises the return of one caller.
   * @example schedule.plan({ leftMs: 8000, usualMs: () => 1500 }, room, Math.random).retryAfterMs
   */
  plan(caller: RefusedCaller, room: RoomForecast, random: Random): PlannedReturn {
    this.dropLapsed(room.nowMs);
    const maxMs = caller.leftMs * MAX_RETURN_SHARE;
    const isKnown = room.forecast.isUseful && room.holdMs !== undefined && maxMs > MIN_RETURN_MS;
    if (!isKnown) return this.promise(room, 'usual', caller.usualMs(), 0);
    const found = this.firstRoom(room, maxMs);
    if (!found) return this.promise(room, 'latest', maxMs - random() * LATEST_SPREAD_MS, 0);
    const atMs = Math.min(maxMs, found.atMs + random() * BIN_MS);
    return this.promise(room, 'room', atMs, found.room);
  }

  private promise(
    { nowMs, forecast, firstTriesPerS }: RoomForecast,
    why: RetryReason,
    retryAfterMs: number,
    room: number,
  ): PlannedReturn {
    const bin = binOf(nowMs + retryAfterMs);
    const promised = this.promised.get(bin) ?? 0;
    this.promised.set(bin, promised + 1);
    const forecastPerS = firstTriesPerS(retryAfterMs);
    return { retryAfterMs, why, forecastPerS, errorPerS: forecast.errorPerS, promised, room };
  }

  /** Follows the free slots bin by bin; returns the first bin with room for one more. */
  private firstRoom(forecast: RoomForecast, maxMs: number): RoomAt | undefined {
    const { nowMs, firstTriesPerS, slots, reserved } = forecast;
    const holdMs = forecast.holdMs ?? 0;
    let free = forecast.free;
    let waiting = forecast.queued;
    for (let atMs = 0; atMs < maxMs; atMs += BIN_MS) {
      const releases = ((slots - reserved - free) * BIN_MS) / holdMs;
      const arrivals = (firstTriesPerS(atMs + BIN_MS / 2) * BIN_MS) / 1000;
      waiting += this.promised.get(binOf(nowMs + atMs)) ?? 0;
      free = Math.max(0, free + releases - arrivals);
      const served = Math.min(waiting, free);
      waiting -= served;
      free -= served;
      if (atMs >= MIN_RETURN_MS && free >= 1) return { atMs, room: free };
    }
    return undefined;
  }

  /** Notes that a refused caller returned: takes it for the earliest promise that is about due. */
  noteReturn(nowMs: number): void {
    this.dropLapsed(nowMs);
    const latest = binOf(nowMs + LAPSE_MS);
    const due = Math.min(...this.promised.keys());
    if (due > latest) return;
    this.kept += 1;
    this.take(due, 1);
  }

  private take(bin: number, count: number): void {
    const left = (this.promised.get(bin) ?? 0) - count;
    if (left > 0) this.promised.set(bin, left);
    else this.promised.delete(bin);
  }

  private dropLapsed(nowMs: number): void {
    const oldest = binOf(nowMs - LAPSE_MS);
    for (const [bin, count] of this.promised) {
      if (bin >= oldest) continue;
      this.lapsed += count;
      this.promised.delete(bin);
    }
  }
}

function binOf(atMs: number): number {
  return Math.floor(atMs / BIN_MS);
}
