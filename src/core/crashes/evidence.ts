/**
 * Records which traits requests had that had just started on endpoints when these crashed, and when
 * a request with such a trait last succeeded. Entries merge their observations; updates may be merged
 * in any order and more than once, without a coordinator.
 */
import { randomBytes } from 'node:crypto';
import type { Clock } from '../clock/index.js';
import { asId, type EndpointId } from '../ids/index.js';
import type { CrashedRunReport, CrashUpdate } from '../../generated/messages.types.js';
import {
  CRASHES_TO_REFUSE,
  EVIDENCE_TTL_MS,
  MAX_CLEARED,
  MAX_RUNS,
  REFUSAL_JITTER,
  SAME_SUCCESS_MS,
} from './consts.js';
import { distinctCrashes, isSameCrash, isSameEvidence } from './distinct-crashes.js';
import { RefusalRule } from './refusal-rule.js';
import { Sightings } from './sightings.js';
import { isWholeRequest, type TraitId } from './traits.js';
import type { CrashedRun, RunId } from './types.js';

/** Where a record comes from, and the version at which it was added or last changed. */
interface Origin {
  readonly version: number;
  /** Whether this entry observed it itself. */
  readonly isOwn: boolean;
}

interface RunRecord extends CrashedRun, Origin {}

/** The latest success of a request with a trait. */
interface Success extends Origin {
  /** When the successful run was sent: it shows nothing of crashes after that. */
  readonly sentAtMs: number;
}

/** The runs with a trait. */
interface Suspect {
  readonly runs: Set<RunId>;
  /** When the latest of them ended, ms. */
  lastCrashedAtMs: number;
}

/** A run that has just ended with the crash of its endpoint. */
export type NewCrashedRun = Omit<CrashedRun, 'crashedAtMs'>;

/** Dependencies of `CrashEvidence`. */
export interface CrashEvidenceDeps {
  readonly clock: Pick<Clock, 'nowMs'>;
  /** Random numbers in [0, 1). */
  readonly random?: () => number;
}

/** Crash evidence of one entry, merged with that of others. */
export class CrashEvidence {
  private readonly runs = new Map<RunId, RunRecord>();
  private readonly successes = new Map<TraitId, Success>();
  private readonly suspects = new Map<TraitId, Suspect>();
  private readonly sightings = new Sightings();
  private readonly clock: Pick<Clock, 'nowMs'>;
  private readonly rule: RefusalRule;
  private readonly runPrefix = randomBytes(6).toString('hex');
  private changes = 0;
  private ownRuns = 0;
  /** Crashes by trait as of `cachedVersion`; counting them among 300 runs takes 0.8 ms. */
  private readonly crashCache = new Map<TraitId, readonly CrashedRun[]>();
  private cachedVersion = 0;
  /** When the evidence of the latest crash expires, ms. */
  private expiresAtMs = Number.NEGATIVE_INFINITY;

  constructor({ clock, random = () => 0 }: CrashEvidenceDeps) {
    this.clock = clock;
    this.rule = new RefusalRule({
      clock,
      sightings: this.sightings,
      jitter: 1 + REFUSAL_JITTER * random(),
      runs: () => this.runs.values(),
      isSuspected: (id) => this.isSuspected(id),
      crashesOf: (id) => this.crashesOf(id),
      isLive: (id, run) => this.isLive(id, run),
    });
  }

  /** Rises with each change. */
  get version(): number {
    return this.changes;
  }

  /** Whether there are no suspects, in which case the traits of requests need not be known. */
  get isEmpty(): boolean {
    return this.clock.nowMs() >= this.expiresAtMs;
  }

  /** Counts a request for a service that arrived. */
  noteArrival(service: string, traits: readonly TraitId[]): void {
    this.sightings.count(service, traits);
  }

  /**
   * Returns the trait for which a request is refused, if any: of several, the likeliest cause.
   * @example if (evidence.refusedTrait(traitsOf(contents))) return refuse();
   */
  refusedTrait(traits: readonly TraitId[]): TraitId | undefined {
    if (this.isEmpty) return undefined;
    return this.rule.refusedTrait(traits);
  }

  /** Whether a trait was in a crash since its last success. */
  private isSuspected(id: TraitId): boolean {
    const suspect = this.suspects.get(id);
    if (!suspect) return false;
    const success = this.successes.get(id);
    return !success || suspect.lastCrashedAtMs >= success.sentAtMs;
  }

  /** Crashes with a trait since its last success. */
  crashCount(id: TraitId): number {
    return this.crashesOf(id).length;
  }

  /** Whether no success rules out that a trait caused the crash of a run. */
  private isLive(id: TraitId, run: CrashedRun): boolean {
    const success = this.successes.get(id);
    return !success || run.crashedAtMs >= success.sentAtMs;
  }

  private crashesOf(id: TraitId): readonly CrashedRun[] {
    if (this.cachedVersion !== this.changes) this.crashCache.clear();
    this.cachedVersion = this.changes;
    const cached = this.crashCache.get(id);
    if (cached) return cached;
    const runs = this.runsOf(id).filter((run) => this.isLive(id, run));
    const crashes = distinctCrashes(runs, isWholeRequest(id) ? isSameCrash : isSameEvidence);
    this.crashCache.set(id, crashes);
    return crashes;
  }

  private runsOf(id: TraitId): CrashedRun[] {
    const ids = [...(this.suspects.get(id)?.runs ?? [])];
    return ids.map((run) => this.runs.get(run) as RunRecord);
  }

  /** Notes that an endpoint crashed as a run had just started there. */
  noteCrash(run: NewCrashedRun): void {
    this.ownRuns += 1;
    const id = asId<RunId>(`${this.runPrefix}-${this.ownRuns}`);
    this.add(id, { ...run, crashedAtMs: this.clock.nowMs() }, true);
  }

  /**
   * Notes that a run sent at `sentAtMs` succeeded; returns the traits that this clears of crashes
   * before it.
   */
  noteSuccess(traits: readonly TraitId[], sentAtMs: number): TraitId[] {
    const cleared = traits.filter((id) => this.clears(id, sentAtMs));
    for (const id of cleared) this.setSuccess(id, sentAtMs, true);
    return cleared;
  }

  private clears(id: TraitId, sentAtMs: number): boolean {
    if (!this.isSuspected(id)) return false;
    return this.runsOf(id).some((run) => run.crashedAtMs < sentAtMs && this.isLive(id, run));
  }

  private setSuccess(id: TraitId, sentAtMs: number, isOwn: boolean): void {
    this.changes += 1;
    // Re-inserted, so that the map stays ordered by age.
    this.successes.delete(id);
    this.successes.set(id, { sentAtMs, isOwn, version: this.changes });
    const [oldest] = this.successes.keys();
    if (this.successes.size > MAX_CLEARED && oldest !== undefined) this.successes.delete(oldest);
  }

  private add(id: RunId, run: CrashedRun, isOwn: boolean): void {
    this.changes += 1;
    this.runs.set(id, { ...run, isOwn, version: this.changes });
    this.expiresAtMs = Math.max(this.expiresAtMs, run.crashedAtMs + EVIDENCE_TTL_MS);
    for (const trait of run.traits) this.suspect(trait, id, run.crashedAtMs);
    this.evict();
  }

  private suspect(trait: TraitId, run: RunId, crashedAtMs: number): void {
    const suspect = this.suspects.get(trait) ?? { runs: new Set(), lastCrashedAtMs: crashedAtMs };
    suspect.runs.add(run);
    suspect.lastCrashedAtMs = Math.max(suspect.lastCrashedAtMs, crashedAtMs);
    this.suspects.set(trait, suspect);
    this.sightings.add(trait);
  }

  private remove(id: RunId): void {
    for (const trait of this.runs.get(id)?.traits ?? []) {
      const suspect = this.suspects.get(trait);
      suspect?.runs.delete(id);
      if (suspect?.runs.size) continue;
      this.suspects.delete(trait);
      this.sightings.remove(trait);
    }
    this.runs.delete(id);
  }

  /**
   * Drops expired runs, and one more if there are too many: the oldest without a trait that crashed
   * often enough to be refused, if any.
   */
  private evict(): void {
    const oldestMs = this.clock.nowMs() - EVIDENCE_TTL_MS;
    for (const [id, { crashedAtMs }] of this.runs) if (crashedAtMs <= oldestMs) this.remove(id);
    for (const [id, { sentAtMs }] of this.successes)
      if (sentAtMs <= oldestMs) this.successes.delete(id);
    if (this.runs.size <= MAX_RUNS) return;
    const ids = [...this.runs.keys()];
    const isWeak = (id: RunId): boolean =>
      (this.runs.get(id)?.traits ?? []).every(
        (trait) => this.crashCount(trait) < CRASHES_TO_REFUSE.rare,
      );
    const evicted = ids.find(isWeak) ?? ids[0];
    if (evicted !== undefined) this.remove(evicted);
  }

  /** Changes after a version, as a message to other entries. */
  deltaSince(version: number): CrashUpdate {
    return this.toMessage((record) => record.version > version);
  }

  /** What this entry observed itself after a version, as a message to other entries. */
  ownSince(version: number): CrashUpdate {
    return this.toMessage((record) => record.isOwn && record.version > version);
  }

  /** What is missing in the update of an entry that sent everything it has. */
  missingIn(update: CrashUpdate): CrashUpdate {
    const runs = new Set(update.runs.map(({ id }) => id));
    const cleared = new Set(update.cleared.map(({ trait }) => trait));
    const all = this.deltaSince(0);
    return {
      runs: all.runs.filter(({ id }) => !runs.has(id)),
      cleared: all.cleared.filter(({ trait }) => !cleared.has(trait)),
    };
  }

  private toMessage(isIncluded: (record: Origin) => boolean): CrashUpdate {
    const nowMs = this.clock.nowMs();
    const agoMs = (atMs: number): number => Math.max(0, Math.round(nowMs - atMs));
    const runs = [...this.runs].filter(([, run]) => isIncluded(run));
    const cleared = [...this.successes].filter(([, success]) => isIncluded(success));
    return {
      runs: runs.map(([id, { endpoint, request, sentAtMs, crashedAtMs, traits }]) => ({
        id,
        endpoint,
        ...(request === undefined ? {} : { request }),
        sentAgoMs: agoMs(sentAtMs),
        crashedAgoMs: agoMs(crashedAtMs),
        traits: [...traits],
      })),
      cleared: cleared.map(([trait, { sentAtMs }]) => ({ trait, sentAgoMs: agoMs(sentAtMs) })),
    };
  }

  /**
   * Merges the update of another entry; true if anything changed.
   * @example if (evidence.merge(update)) relay.wake();
   */
  merge({ runs, cleared }: CrashUpdate): boolean {
    const before = this.changes;
    for (const run of runs) this.mergeRun(run);
    for (const { trait, sentAgoMs } of cleared)
      this.mergeSuccess(asId<TraitId>(trait), this.clock.nowMs() - sentAgoMs);
    return this.changes > before;
  }

  private mergeRun(report: CrashedRunReport): void {
    const { id, endpoint, request, sentAgoMs, crashedAgoMs, traits } = report;
    const nowMs = this.clock.nowMs();
    if (crashedAgoMs >= EVIDENCE_TTL_MS) return;
    const runId = asId<RunId>(id);
    const crashedAtMs = nowMs - crashedAgoMs;
    const run = {
      endpoint: asId<EndpointId>(endpoint),
      request,
      sentAtMs: nowMs - sentAgoMs,
      crashedAtMs,
      traits: traits.map((trait) => asId<TraitId>(trait)),
    };
    const known = this.runs.get(runId);
    if (!known) return this.add(runId, run, false);
    // The ages in a message grow while it is under way, so the earliest time is the most accurate.
    if (crashedAtMs >= known.crashedAtMs) return;
    this.runs.set(runId, { ...known, ...run });
    this.crashCache.clear();
  }

  private mergeSuccess(id: TraitId, sentAtMs: number): void {
    const known = this.successes.get(id)?.sentAtMs ?? Number.NEGATIVE_INFINITY;
    if (sentAtMs <= known) return;
    if (this.clears(id, sentAtMs) || sentAtMs > known + SAME_SUCCESS_MS)
      this.setSuccess(id, sentAtMs, false);
  }
}
