/** The digest of a group as one process holds it: the newest that it was given, with its age. */
import type { Clock } from '../core/clock/index.js';
import type { GroupDigest } from '../generated/messages.types.js';

/** A digest and the time at which its ranks were asked. */
export class HeldDigest {
  private digest: GroupDigest | undefined;
  private askedAtMs = 0;

  constructor(private readonly clock: Clock) {}

  /** Takes a digest unless the one held is newer; true when it was taken. */
  take(digest: GroupDigest): boolean {
    const askedAtMs = this.clock.nowMs() - digest.ageMs;
    if (this.digest && askedAtMs < this.askedAtMs) return false;
    this.digest = digest;
    this.askedAtMs = askedAtMs;
    return true;
  }

  /**
   * The digest with its age of now; undefined when it is older than that, ms.
   * @example held.read(1500)?.ageMs // 240
   */
  read(mostAgeMs = Number.POSITIVE_INFINITY): GroupDigest | undefined {
    const ageMs = Math.round(this.clock.nowMs() - this.askedAtMs);
    if (!this.digest || ageMs > mostAgeMs) return undefined;
    return { ...this.digest, ageMs };
  }
}
