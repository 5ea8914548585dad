/**
 * Corrects the holding time while it contradicts the streams of the group. Streams that stalled in an outage held their
 * slots many times as long as others will; the level would refuse requests that a half idle group can serve.
 */

/** Time constant of the correction at a group that is idle, and of its end, ms. */
const TIME_CONSTANT_MS = 1000;
/** Utilisation from which a cut contradicts nothing. */
const FULL_UTILISATION = 0.95;
/** Smallest factor on the holding time. */
const MIN_FACTOR = 0.05;

/** Factor on the holding time of one group. Times are monotonic ms. */
export class HoldCorrection {
  private value = 1;
  private updatedAtMs: number | undefined;

  /** Factor to apply, at most 1. */
  get factor(): number {
    return this.value;
  }

  /**
   * Lowers the factor while a class is cut although the group has room, and ends the correction otherwise.
   * @example correction.update(0.4, level.cut !== undefined, clock.nowMs());
   */
  update(utilisation: number, isCut: boolean, nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - (this.updatedAtMs ?? nowMs));
    this.updatedAtMs = nowMs;
    const steps = Math.min(1, elapsedMs / TIME_CONSTANT_MS);
    const missing = FULL_UTILISATION - utilisation;
    if (isCut && missing > 0)
      this.value = Math.max(MIN_FACTOR, this.value * Math.exp(-steps * missing));
    else if (isCut) this.value = Math.min(1, this.value * Math.exp(-steps * missing));
    else this.value += (1 - this.value) * steps;
  }
}
