/**
 * Number of steps between arming and the switch. If the step is due before every rank has received
 * the decision, the group stalls with all its streams; a margin that is too wide delays new maps.
 */
import { timed, type Clock } from '../core/clock/index.js';
import type { RankOrder } from '../core/groups/index.js';
import {
  DEFAULT_MARGIN_STEPS,
  MARGIN_FACTOR,
  MARGIN_HALF_LIFE_MS,
  MARGIN_STEPS,
} from './consts.js';

/** Estimates from the orders of each round how long arming and deciding take. */
export class SwitchMargin {
  /** Slowest recent duration, ms, by kind of order. */
  private readonly slowest = new Map<RankOrder['kind'], { ms: number; atMs: number }>();

  constructor(private readonly clock: Clock) {}

  /** Waits for calls and records their duration, also when they fail. */
  timed<T>(kind: RankOrder['kind'], calls: Promise<T>): Promise<T> {
    return timed(this.clock, calls, (ms) => {
      if (ms >= this.decayedMs(kind)) this.slowest.set(kind, { ms, atMs: this.clock.nowMs() });
    });
  }

  /**
   * Steps from the newest one to the switch, for a step time in ms; 0 means unknown.
   * @example margin.steps(60) // 2
   */
  steps(stepMs: number): number {
    if (stepMs <= 0 || !this.slowest.has('arm')) return DEFAULT_MARGIN_STEPS;
    const neededMs = (this.decayedMs('arm') + this.decayedMs('confirm')) * MARGIN_FACTOR;
    // The current step may end at any moment.
    const steps = 1 + Math.ceil(neededMs / stepMs);
    return Math.min(MARGIN_STEPS.max, Math.max(MARGIN_STEPS.min, steps));
  }

  private decayedMs(kind: RankOrder['kind']): number {
    const slow = this.slowest.get(kind);
    if (!slow) return 0;
    return slow.ms * 0.5 ** ((this.clock.nowMs() - slow.atMs) / MARGIN_HALF_LIFE_MS);
  }
}
