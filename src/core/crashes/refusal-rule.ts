/**
 * Decides which requests to refuse from the crashes of endpoints: those with a trait that is more
 * often in crashes than chance explains, unless another trait is the likelier cause.
 */
import type { Clock } from '../clock/index.js';
import {
  BROAD_REFUSAL_GROWTH,
  BROAD_REFUSAL_MS,
  BROAD_SHARE,
  CRASHES_TO_REFUSE,
  RARE_SHARE,
  REFUSAL_MS,
} from './consts.js';
import { isSameCrash } from './distinct-crashes.js';
import type { Sightings } from './sightings.js';
import { isSender, isSharedKind, isWholeRequest, type TraitId } from './traits.js';
import type { CrashedRun } from './types.js';

/** What the rule decides on. */
export interface RefusalFacts {
  readonly clock: Pick<Clock, 'nowMs'>;
  readonly sightings: Sightings;
  /** Factor of the time for which a trait is refused. */
  readonly jitter: number;
  readonly runs: () => Iterable<CrashedRun>;
  /** Whether a trait was in a crash since its last success. */
  readonly isSuspected: (id: TraitId) => boolean;
  /** Crashes with a trait since its last success, oldest first. */
  readonly crashesOf: (id: TraitId) => readonly CrashedRun[];
  /** Whether no success rules out that a trait caused the crash of a run. */
  readonly isLive: (id: TraitId, run: CrashedRun) => boolean;
}

/** How many requests have a trait. */
type Commonness = keyof typeof CRASHES_TO_REFUSE;

/** The rule at one entry; each decision is made anew from the facts. */
export class RefusalRule {
  constructor(private readonly facts: RefusalFacts) {}

  /**
   * Returns the trait for which a request is refused, if any: of several, the likeliest cause.
   * @example rule.refusedTrait(traitsOf(contents)) // 'part:agent-assist:5c1e07a2'
   */
  refusedTrait(traits: readonly TraitId[]): TraitId | undefined {
    const [first, ...others] = traits.filter((id) => this.isRefused(id, traits));
    return others.reduce(
      (likeliest, id) => (likeliest && this.isLikelierCause(id, likeliest) ? id : likeliest),
      first,
    );
  }

  private isRefused(id: TraitId, traits: readonly TraitId[]): boolean {
    const { clock, sightings, isSuspected, crashesOf } = this.facts;
    if (!isSuspected(id)) return false;
    const crashes = crashesOf(id);
    const last = crashes.at(-1);
    if (!last || crashes.length < this.crashesToRefuse(id)) return false;
    // Refusing the sender of most requests, or of an unknown share, would spare few others.
    if (isSender(id) && (sightings.shareOf(id) ?? 1) > BROAD_SHARE) return false;
    if (clock.nowMs() - last.crashedAtMs >= this.refusalMs(id, crashes.length)) return false;
    const unexplained = crashes.filter((crash) => !this.isExplained(crash, id, traits));
    return unexplained.length >= this.crashesToRefuse(id);
  }

  /**
   * Whether a trait that the request does not have is the likelier cause of a crash. Sound requests
   * share parts with those that crash endpoints, and their parts are then in the same crashes.
   */
  private isExplained(crash: CrashedRun, id: TraitId, traits: readonly TraitId[]): boolean {
    const { runs, isLive } = this.facts;
    for (const run of runs()) {
      if (!isSameCrash(crash, run)) continue;
      for (const other of run.traits) {
        if (traits.includes(other) || !isLive(other, run)) continue;
        if (this.isLikelierCause(other, id)) return true;
      }
    }
    return false;
  }

  private isLikelierCause(other: TraitId, id: TraitId): boolean {
    const { sightings, crashesOf } = this.facts;
    if (this.commonness(other) === 'broad') return false;
    // Every request with a crashing part is itself present at the crashes that the part causes.
    if (isWholeRequest(other) && !isWholeRequest(id)) return false;
    const [crashes, otherCrashes] = [crashesOf(id).length, crashesOf(other).length];
    if (otherCrashes < this.crashesToRefuse(other)) return false;
    if (this.commonness(id) === 'broad' || otherCrashes > crashes) return true;
    return otherCrashes === crashes && sightings.seenOf(other) < sightings.seenOf(id);
  }

  private commonness(id: TraitId): Commonness {
    if (isSharedKind(id)) return 'broad';
    if (isWholeRequest(id)) return 'rare';
    const share = this.facts.sightings.shareOf(id);
    if (share === undefined) return 'common';
    if (share > BROAD_SHARE) return 'broad';
    return share > RARE_SHARE ? 'common' : 'rare';
  }

  private crashesToRefuse(id: TraitId): number {
    return CRASHES_TO_REFUSE[this.commonness(id)];
  }

  private refusalMs(id: TraitId, crashCount: number): number {
    const { jitter } = this.facts;
    if (this.commonness(id) !== 'broad') return REFUSAL_MS * jitter;
    const growth = BROAD_REFUSAL_GROWTH ** (crashCount - CRASHES_TO_REFUSE.broad);
    return Math.min(REFUSAL_MS, BROAD_REFUSAL_MS * growth) * jitter;
  }
}
