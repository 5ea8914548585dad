/**
 * Which agent of a group coordinates. Whoever coordinates looks at the others; an agent that nobody has looked
 * at for long enough takes over, those of lower rank first.
 */
import type { Clock } from '../core/clock/index.js';
import type { Log } from '../core/logging/index.js';
import type { Metrics } from '../core/metrics/index.js';
import { UNLOOKED_STAGGER_MS, unlookedMs } from './consts.js';

/** What an agent needs to know whether it coordinates. */
export interface SuccessionParts {
  /** Address of this agent. */
  readonly self: string;
  /** Rank of its engine; undefined until the engine has told it. */
  readonly rank: () => number | undefined;
  /** Agents of the group. */
  readonly size: () => number;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** The place of one agent in the line of those who may coordinate. */
export class Succession {
  private lookedAtMs: number;
  private coordinates = false;

  constructor(private readonly parts: SuccessionParts) {
    this.lookedAtMs = parts.clock.nowMs();
  }

  /** Notes that another agent looks after the group; of two, the one with the lower address goes on. */
  noteLook(from: string): void {
    if (from === this.parts.self) return;
    if (from > this.parts.self && this.isDue()) return;
    this.lookedAtMs = this.parts.clock.nowMs();
    if (this.coordinates) this.tell(false, { to: from });
  }

  /**
   * Whether this agent is to coordinate now.
   * @example if (succession.isMine()) await round();
   */
  isMine(): boolean {
    const isDue = this.isDue();
    if (isDue && !this.coordinates) this.tell(true, {});
    return isDue;
  }

  private isDue(): boolean {
    const { rank, size } = this.parts;
    const own = rank();
    if (own === undefined) return false;
    return this.unlookedForMs() > unlookedMs(size()) + own * UNLOOKED_STAGGER_MS;
  }

  private unlookedForMs(): number {
    return this.parts.clock.nowMs() - this.lookedAtMs;
  }

  private tell(coordinates: boolean, outcome: { readonly to?: string }): void {
    this.coordinates = coordinates;
    const { log, metrics, rank, size } = this.parts;
    metrics.count('coordinator_changes_total', { to: coordinates ? 'self' : 'other' });
    log.info(coordinates ? 'coordinator.began' : 'coordinator.ended', {
      rank: rank(),
      ranks: size(),
      unlookedMs: coordinates ? Math.round(this.unlookedForMs()) : undefined,
      ...outcome,
    });
  }
}
