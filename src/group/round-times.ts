/** Measures the phases of one round for its log line, to show why a new map is late. */
import { timed, type Clock } from '../core/clock/index.js';
import type { RankOrder } from '../core/groups/index.js';

/** Times of one round, ms. */
export class RoundTimes {
  private readonly totalMsByKind = new Map<RankOrder['kind'], number>();

  constructor(private readonly clock: Clock) {}

  /** Waits for calls and adds their duration to the total of their kind. */
  timed<T>(kind: RankOrder['kind'], calls: Promise<T>): Promise<T> {
    return timed(this.clock, calls, (tookMs) => {
      this.totalMsByKind.set(kind, (this.totalMsByKind.get(kind) ?? 0) + tookMs);
    });
  }

  /**
   * Durations by kind of order in whole ms, as one text.
   * @example times.text // 'promise:40,prepare:260,arm:70,confirm:35'
   */
  get text(): string {
    return [...this.totalMsByKind].map(([kind, ms]) => `${kind}:${Math.round(ms)}`).join(',');
  }
}
