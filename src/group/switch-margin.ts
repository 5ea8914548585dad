/**
 * How many steps before a switch its arming begins. A group whose step is due before every rank has been
 * told the decision stands still, and every stream with it; a margin that is too wide makes maps late.
 */
import { timed, type Clock } from '../core/clock/index.js';
import type { RankOrder } from '../core/groups/index.js';
import {
  DEFAULT_MARGIN_STEPS,
  MARGIN_FACTOR,
  MARGIN_HALF_LIFE_MS,
  MARGIN_STEPS,
} from './consts.js';

/** Learns from the orders of each round how long arming and deciding take. */
export class SwitchMargin {
  /** Slowest lately, ms, by kind of order. */
  private readonly slowest = new Map<RankOrder['kind'], { ms: number; atMs: number }>();

  constructor(private readonly clock: Clock) {}

  /** Passes calls through and notes how long they took, also when they failed. */
  timed<T>(kind: RankOrder['kind'], calls: Promise<T>): Promise<T> {
    return timed(this.clock, calls, (ms) => {
      if (ms >= this.decayedMs(kind)) this.slowest.set(kind, { ms, atMs: this.clock.nowMs() });
    });
  }

  /**
   * Steps from the newest one to that of the switch, for a step of so many ms; 0 stands for unknown.
   * @example margin.steps(60) // 2
   */
  steps(stepMs: number): number {
    if (stepMs <= 0 || !this.slowest.has('arm')) return DEFAULT_MARGIN_STEPS;
    const neededMs = (this.decayedMs('arm') + this.decayedMs('confirm')) * MARGIN_FACTOR;
    // The step that runs now may end at once.
    const steps = 1 + Math.ceil(neededMs / stepMs);
    return Math.min(MARGIN_STEPS.max, Math.max(MARGIN_STEPS.min, steps));
  }

  private decayedMs(kind: RankOrder['kind']): number {
    const slow = this.slowest.get(kind);
    if (!slow) return 0;
    return slow.ms * 0.5 ** ((this.clock.nowMs() - slow.atMs) / MARGIN_HALF_LIFE_MS);
  }
}
