/**
 * Tracks which requests had just started on endpoints that crashed, to stop retrying those that
 * cause the crashes. Entries merge their observations; evidence only grows and expires, so updates
 * may be merged in any order and more than once, without a coordinator.
 */
import type { Clock } from '../clock/index.js';
import type { EndpointId } from '../ids/index.js';
import { asId } from '../ids/index.js';
import type { CrashUpdate, CrashSuspect } from '../../generated/messages.types.js';
import type { Fingerprint } from './fingerprint.js';

/**
 * Crashes after which a request is refused. One crash may be due to any of the up to seven requests
 * that ran there; if the same request is starting again when another process crashes, chance is
 * unlikely.
 */
const CRASHES_TO_REFUSE = 2;
/**
 * Time for which evidence is valid, ms. A request that is repeated forever costs two crashes per
 * period; one that is refused wrongly is not refused for longer than that.
 */
const EVIDENCE_TTL_MS = 300_000;
/**
 * Crashes of one endpoint within this time are one crash seen by several entries, ms: a restart
 * takes some seconds.
 */
const SAME_CRASH_WINDOW_MS = 1000;
/**
 * Maximum number of suspects; 18 engines of 7 slots that crash at once have about as many requests
 * in flight.
 */
const MAX_SUSPECTS = 128;
const MAX_CRASHES_PER_SUSPECT = 4;

interface Crash {
  readonly endpoint: EndpointId;
  readonly atMs: number;
}

interface Suspect {
  readonly crashes: Crash[];
  /** When it last completed successfully. */
  clearedAtMs: number;
  /** Version at which this last changed. */
  version: number;
}

/** Crash evidence of one entry, merged with that of others. Times are those of its clock, ms. */
export class CrashEvidence {
  private readonly suspects = new Map<Fingerprint, Suspect>();
  private changes = 0;

  constructor(private readonly clock: Pick<Clock, 'nowMs'>) {}

  /** Rises with each change. */
  get version(): number {
    return this.changes;
  }

  /** Whether there are no suspects, in which case requests need not be fingerprinted. */
  get isEmpty(): boolean {
    return this.suspects.size === 0;
  }

  /**
   * Whether a request is refused because endpoints crashed when it started.
   * @example if (evidence.isRefused(fingerprintOf(contents))) return refuse();
   */
  isRefused(fingerprint: Fingerprint): boolean {
    const suspect = this.suspects.get(fingerprint);
    if (!suspect || this.isCurrent(suspect.clearedAtMs)) return false;
    const current = suspect.crashes.filter(({ atMs }) => this.isCurrent(atMs));
    return current.length >= CRASHES_TO_REFUSE;
  }

  private isCurrent(atMs: number): boolean {
    return this.clock.nowMs() - atMs < EVIDENCE_TTL_MS;
  }

  /**
   * Notes that an endpoint crashed `agoMs` ago as a request started there; false if that crash was
   * already known.
   */
  noteCrash(fingerprint: Fingerprint, endpoint: EndpointId, agoMs = 0): boolean {
    const atMs = this.clock.nowMs() - agoMs;
    const { crashes } = this.suspects.get(fingerprint) ?? { crashes: [] };
    const isKnown = crashes.some(
      (crash) => crash.endpoint === endpoint && Math.abs(crash.atMs - atMs) < SAME_CRASH_WINDOW_MS,
    );
    if (isKnown || crashes.length >= MAX_CRASHES_PER_SUSPECT) return false;
    this.touch(fingerprint).crashes.push({ endpoint, atMs });
    this.evict();
    return true;
  }

  /**
   * Notes that a request completed successfully `agoMs` ago, so other causes are behind the crashes
   * it was suspected of. False if it was not suspected, or was cleared recently.
   */
  noteSuccess(fingerprint: Fingerprint, agoMs = 0): boolean {
    const atMs = this.clock.nowMs() - agoMs;
    const suspect = this.suspects.get(fingerprint);
    if (!suspect || atMs < suspect.clearedAtMs + EVIDENCE_TTL_MS / 2) return false;
    this.touch(fingerprint).clearedAtMs = atMs;
    return true;
  }

  /** Changes after a version, as a message to other entries. */
  deltaSince(version: number): CrashUpdate {
    const changed = [...this.suspects].filter(([, suspect]) => suspect.version > version);
    return {
      suspects: changed.map(([fingerprint, suspect]) => this.toMessage(fingerprint, suspect)),
    };
  }

  private toMessage(fingerprint: Fingerprint, { crashes, clearedAtMs }: Suspect): CrashSuspect {
    const nowMs = this.clock.nowMs();
    const agoMs = (atMs: number): number => Math.max(0, Math.round(nowMs - atMs));
    return {
      fingerprint,
      crashes: crashes.map(({ endpoint, atMs }) => ({ endpoint, agoMs: agoMs(atMs) })),
      ...(clearedAtMs > Number.NEGATIVE_INFINITY && { clearedAgoMs: agoMs(clearedAtMs) }),
    };
  }

  /**
   * Merges the update of another entry; true if anything changed.
   * @example if (evidence.merge(update)) relay.wake();
   */
  merge({ suspects }: CrashUpdate): boolean {
    const before = this.changes;
    for (const { fingerprint: text, crashes, clearedAgoMs } of suspects) {
      const fingerprint = asId<Fingerprint>(text);
      for (const { endpoint, agoMs } of crashes)
        if (agoMs < EVIDENCE_TTL_MS) this.noteCrash(fingerprint, asId<EndpointId>(endpoint), agoMs);
      if (clearedAgoMs !== undefined) this.noteSuccess(fingerprint, clearedAgoMs);
    }
    return this.changes > before;
  }

  /** Returns the record of a request, added if missing, and marks it as changed. */
  private touch(fingerprint: Fingerprint): Suspect {
    const suspect = this.suspects.get(fingerprint) ?? {
      crashes: [],
      clearedAtMs: Number.NEGATIVE_INFINITY,
      version: 0,
    };
    this.changes += 1;
    suspect.version = this.changes;
    this.suspects.set(fingerprint, suspect);
    return suspect;
  }

  /**
   * Drops expired suspects, and one more if there are too many: the oldest with too few crashes to
   * be refused, if any.
   */
  private evict(): void {
    for (const [fingerprint, { crashes }] of this.suspects)
      if (!crashes.some(({ atMs }) => this.isCurrent(atMs))) this.suspects.delete(fingerprint);
    if (this.suspects.size <= MAX_SUSPECTS) return;
    const all = [...this.suspects];
    const [evicted] =
      all.find(([, { crashes }]) => crashes.length < CRASHES_TO_REFUSE) ?? all[0] ?? [];
    if (evicted !== undefined) this.suspects.delete(evicted);
  }
}
