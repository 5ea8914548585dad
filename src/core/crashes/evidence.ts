/**
 * Which requests were beginning to run on endpoints that fell. Entries put together what each of them saw; evidence only grows
 * and lapses, so that it may be told in any order and more than once, without a coordinator.
 */
import type { Clock } from '../clock/index.js';
import type { EndpointId } from '../ids/index.js';
import { asId } from '../ids/index.js';
import type { CrashNews, CrashSuspect } from '../../generated/messages.types.js';
import type { Fingerprint } from './fingerprint.js';

/**
 * Crashes after which a request is sent to no endpoint any more. After one of them it is any of those that ran there, up to
 * seven; the same one again on another process of an endpoint, before any answer, is hardly chance.
 */
const CRASHES_TO_REFUSE = 2;
/**
 * Time for which evidence counts, ms: one that goes on coming costs two crashes in so long. Who was refused wrongly is not
 * for longer.
 */
const EVIDENCE_MS = 300_000;
/** Crashes of one endpoint that are closer are the same one, seen by several entries, ms: it is back after some seconds. */
const SAME_CRASH_MS = 1000;
/** Requests that are remembered: as many as run on 18 engines of 7 slots when all of them fall at once. */
const MOST_SUSPECTS = 128;
/** Crashes that are remembered of each. */
const MOST_CRASHES = 4;

interface Crash {
  readonly endpoint: EndpointId;
  readonly atMs: number;
}

interface Suspect {
  readonly crashes: Crash[];
  /** When it was seen to run to a good end. */
  clearedAtMs: number;
  /** Version at which this last changed. */
  version: number;
}

/** What one entry knows, with what others told it. Times are those of its clock, ms. */
export class CrashEvidence {
  private readonly suspects = new Map<Fingerprint, Suspect>();
  private changes = 0;

  constructor(private readonly clock: Pick<Clock, 'nowMs'>) {}

  /** Rises with each change. */
  get version(): number {
    return this.changes;
  }

  /** Whether nobody is suspected, so that no request needs to be looked at. */
  get isEmpty(): boolean {
    return this.suspects.size === 0;
  }

  /**
   * Whether a request is sent to no endpoint any more.
   * @example if (evidence.isRefused(fingerprintOf(contents))) return refuse();
   */
  isRefused(fingerprint: Fingerprint): boolean {
    const suspect = this.suspects.get(fingerprint);
    if (!suspect || this.counts(suspect.clearedAtMs)) return false;
    const counting = suspect.crashes.filter(({ atMs }) => this.counts(atMs));
    return counting.length >= CRASHES_TO_REFUSE;
  }

  private counts(atMs: number): boolean {
    return this.clock.nowMs() - atMs < EVIDENCE_MS;
  }

  /** Notes that an endpoint fell as a request began to run there, `agoMs` ago; false when that was known. */
  noteCrash(fingerprint: Fingerprint, endpoint: EndpointId, agoMs = 0): boolean {
    const atMs = this.clock.nowMs() - agoMs;
    const { crashes } = this.suspects.get(fingerprint) ?? { crashes: [] };
    const isKnown = crashes.some(
      (crash) => crash.endpoint === endpoint && Math.abs(crash.atMs - atMs) < SAME_CRASH_MS,
    );
    if (isKnown || crashes.length >= MOST_CRASHES) return false;
    this.changed(fingerprint).crashes.push({ endpoint, atMs });
    this.forget();
    return true;
  }

  /**
   * Notes that a request ran to a good end `agoMs` ago: whatever fell while it ran there fell by something else. False when
   * nothing was held against it, or as much was known.
   */
  noteGoodEnd(fingerprint: Fingerprint, agoMs = 0): boolean {
    const atMs = this.clock.nowMs() - agoMs;
    const suspect = this.suspects.get(fingerprint);
    if (!suspect || atMs < suspect.clearedAtMs + EVIDENCE_MS / 2) return false;
    this.changed(fingerprint).clearedAtMs = atMs;
    return true;
  }

  /** What has changed since a version, for others. */
  newsSince(version: number): CrashNews {
    const changed = [...this.suspects].filter(([, suspect]) => suspect.version > version);
    return { suspects: changed.map(([fingerprint, suspect]) => this.told(fingerprint, suspect)) };
  }

  private told(fingerprint: Fingerprint, { crashes, clearedAtMs }: Suspect): CrashSuspect {
    const nowMs = this.clock.nowMs();
    const agoMs = (atMs: number): number => Math.max(0, Math.round(nowMs - atMs));
    return {
      fingerprint,
      crashes: crashes.map(({ endpoint, atMs }) => ({ endpoint, agoMs: agoMs(atMs) })),
      ...(clearedAtMs > Number.NEGATIVE_INFINITY && { clearedAgoMs: agoMs(clearedAtMs) }),
    };
  }

  /**
   * Takes what another entry told; whether any of it was new.
   * @example if (evidence.take(news)) relay.wake();
   */
  take({ suspects }: CrashNews): boolean {
    const before = this.changes;
    for (const { fingerprint: text, crashes, clearedAgoMs } of suspects) {
      const fingerprint = asId<Fingerprint>(text);
      for (const { endpoint, agoMs } of crashes)
        if (agoMs < EVIDENCE_MS) this.noteCrash(fingerprint, asId<EndpointId>(endpoint), agoMs);
      if (clearedAgoMs !== undefined) this.noteGoodEnd(fingerprint, clearedAgoMs);
    }
    return this.changes > before;
  }

  private changed(fingerprint: Fingerprint): Suspect {
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

  /** Drops what has lapsed, and of too many first those with the least against them, the oldest of them first. */
  private forget(): void {
    for (const [fingerprint, { crashes }] of this.suspects)
      if (!crashes.some(({ atMs }) => this.counts(atMs))) this.suspects.delete(fingerprint);
    if (this.suspects.size <= MOST_SUSPECTS) return;
    const all = [...this.suspects];
    const [least] =
      all.find(([, { crashes }]) => crashes.length < CRASHES_TO_REFUSE) ?? all[0] ?? [];
    if (least !== undefined) this.suspects.delete(least);
  }
}
