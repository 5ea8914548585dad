/** How long the parts of one round took, for its log line: what makes a new map late. */
import { timed, type Clock } from '../core/clock/index.js';
import type { RankOrder } from '../core/groups/index.js';

/** Times of one round, ms. */
export class RoundTimes {
  private readonly totalMsByKind = new Map<RankOrder['kind'], number>();

  constructor(private readonly clock: Clock) {}

  /** Passes calls through and adds the time they took to that of their kind. */
  timed<T>(kind: RankOrder['kind'], calls: Promise<T>): Promise<T> {
    return timed(this.clock, calls, (tookMs) => {
      this.totalMsByKind.set(kind, (this.totalMsByKind.get(kind) ?? 0) + tookMs);
    });
  }

  /**
   * Whole ms by kind of order, as one text.
   * @example times.text // 'promise:40,prepare:260,arm:70,confirm:35'
   */
  get text(): string {
    return [...this.totalMsByKind].map(([kind, ms]) => `${kind}:${Math.round(ms)}`).join(',');
  }
}
