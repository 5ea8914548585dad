/** The digest of a group as one process holds it: the newest that it was given, with its age. */
import type { Clock } from '../core/clock/index.js';
import type { GroupDigest } from '../generated/messages.types.js';

/** A digest and the time at which its ranks were asked. */
export class LatestDigest {
  private digest: GroupDigest | undefined;
  private polledAtMs = 0;

  constructor(private readonly clock: Clock) {}

  /** Takes a digest unless the one held is newer; true when it was taken. */
  update(digest: GroupDigest): boolean {
    const polledAtMs = this.clock.nowMs() - digest.ageMs;
    if (this.digest && polledAtMs < this.polledAtMs) return false;
    this.digest = digest;
    this.polledAtMs = polledAtMs;
    return true;
  }

  /**
   * The digest with its age of now; undefined when it is older than that, ms.
   * @example held.read(1500)?.ageMs // 240
   */
  read(maxAgeMs = Number.POSITIVE_INFINITY): GroupDigest | undefined {
    const ageMs = Math.round(this.clock.nowMs() - this.polledAtMs);
    if (!this.digest || ageMs > maxAgeMs) return undefined;
    return { ...this.digest, ageMs };
  }
}
