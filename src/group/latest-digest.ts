/** Holds the most recent group digest in a process, with its age. */
import type { Clock } from '../core/clock/index.js';
import type { GroupDigest } from '../generated/messages.types.js';

/** A digest and the time at which its ranks were polled. */
export class LatestDigest {
  private digest: GroupDigest | undefined;
  private polledAtMs = 0;

  constructor(private readonly clock: Clock) {}

  /** Stores a digest unless the one held is newer; returns whether it was stored. */
  update(digest: GroupDigest): boolean {
    const polledAtMs = this.clock.nowMs() - digest.ageMs;
    if (this.digest && polledAtMs < this.polledAtMs) return false;
    this.digest = digest;
    this.polledAtMs = polledAtMs;
    return true;
  }

  /**
   * The digest with its current age; undefined if it is older than `maxAgeMs`.
   * @example latestDigest.read(1500)?.ageMs // 240
   */
  read(maxAgeMs = Number.POSITIVE_INFINITY): GroupDigest | undefined {
    const ageMs = Math.round(this.clock.nowMs() - this.polledAtMs);
    if (!this.digest || ageMs > maxAgeMs) return undefined;
    return { ...this.digest, ageMs };
  }
}
