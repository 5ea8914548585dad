/**
 * How many steps before a switch its arming begins. A group whose step is due before every rank has been
 * told the decision stands still, and every stream with it; a margin that is too wide makes maps late.
 */
import { timed, type Clock } from '../core/clock/index.js';
import type { RankOrder } from '../core/groups/index.js';
import { FIRST_MARGIN_STEPS, MARGIN_FACTOR, MARGIN_HALF_LIFE_MS, MARGIN_STEPS } from './consts.js';

/** Learns from the orders of each round how long arming and deciding take. */
export class SwitchMargin {
  /** Slowest lately, ms, by kind of order. */
  private readonly slowest = new Map<RankOrder['kind'], { ms: number; atMs: number }>();

  constructor(private readonly clock: Clock) {}

  /** Passes calls through and notes how long they took, also when they failed. */
  timed<T>(kind: RankOrder['kind'], calls: Promise<T>): Promise<T> {
    return timed(this.clock, calls, (ms) => {
      if (ms >= this.lately(kind)) this.slowest.set(kind, { ms, atMs: this.clock.nowMs() });
    });
  }

  /**
   * Steps from the newest one to that of the switch, for a step of so many ms; 0 stands for unknown.
   * @example margin.steps(60) // 2
   */
  steps(stepMs: number): number {
    if (stepMs <= 0 || !this.slowest.has('arm')) return FIRST_MARGIN_STEPS;
    const neededMs = (this.lately('arm') + this.lately('confirm')) * MARGIN_FACTOR;
    // The step that runs now may end at once.
    const steps = 1 + Math.ceil(neededMs / stepMs);
    return Math.min(MARGIN_STEPS.most, Math.max(MARGIN_STEPS.least, steps));
  }

  private lately(kind: RankOrder['kind']): number {
    const known = this.slowest.get(kind);
    if (!known) return 0;
    return known.ms * 0.5 ** ((this.clock.nowMs() - known.atMs) / MARGIN_HALF_LIFE_MS);
  }
}
