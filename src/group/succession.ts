/**
 * Which agent of a group coordinates. Whoever coordinates looks at the others; an agent that nobody has looked
 * at for long enough is due to take over, those of lower rank first. Before it does, it asks the others whether
 * they have heard of a coordinator.
 */
import type { Clock } from '../core/clock/index.js';
import type { RankReply } from '../core/groups/index.js';
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

/** An agent that was heard of, and when, monotonic ms. */
interface Heard {
  readonly from: string;
  readonly atMs: number;
}

/** The place of one agent in the line of those who may coordinate. */
export class Succession {
  /** When another agent was last known to look after the group. */
  private lookedAtMs: number;
  /** Whose looks reached this agent. */
  private heard: Heard | undefined;
  private coordinates = false;

  constructor(private readonly parts: SuccessionParts) {
    this.lookedAtMs = parts.clock.nowMs();
  }

  /** Notes a look of an agent; of two that look after the group the one with the lower address goes on. */
  noteLook(from: string): void {
    if (from === this.parts.self) return;
    const atMs = this.parts.clock.nowMs();
    if (!this.heard || !this.isRecent(this.heard) || from <= this.heard.from)
      this.heard = { from, atMs };
    if (from < this.parts.self || !this.isDue()) this.noteCoordinator({ from, atMs });
  }

  /**
   * Notes what another agent has heard of. An agent may hear nothing of a coordinator that others hear of, as behind a
   * cut, or in a branch whose first agent is silent: where it took over then, the rounds of both ended each other, and no
   * map came into use for 8.5 s (large-group.test).
   */
  noteReply(reply: RankReply): void {
    const { heard } = reply;
    if (!heard || heard.from >= this.parts.self) return;
    this.noteCoordinator({ from: heard.from, atMs: this.parts.clock.nowMs() - heard.agoMs });
  }

  /**
   * Whose looks reached this agent of late, other than those of the asker.
   * @example succession.heardBesides(order.from)?.agoMs // 120
   */
  heardBesides(asker: string | undefined): RankReply['heard'] {
    const { heard } = this;
    if (!heard || heard.from === asker || !this.isRecent(heard)) return undefined;
    return { from: heard.from, agoMs: Math.round(this.parts.clock.nowMs() - heard.atMs) };
  }

  /** Whether nobody is known to look after the group and it is this agent's turn to find out. */
  isDue(): boolean {
    const { rank, size, clock } = this.parts;
    const own = rank();
    if (own === undefined) return false;
    return clock.nowMs() - this.lookedAtMs > unlookedMs(size()) + own * UNLOOKED_STAGGER_MS;
  }

  /**
   * Whether this agent coordinates, now that it has asked the others.
   * @example if (succession.isDue()) { await look(); if (succession.takesOver()) await round(); }
   */
  takesOver(): boolean {
    const isDue = this.isDue();
    if (isDue && !this.coordinates) this.tell(true, undefined);
    return isDue;
  }

  private isRecent(heard: Heard): boolean {
    return this.parts.clock.nowMs() - heard.atMs <= unlookedMs(this.parts.size());
  }

  private noteCoordinator({ from, atMs }: Heard): void {
    this.lookedAtMs = Math.max(this.lookedAtMs, atMs);
    if (this.coordinates && !this.isDue()) this.tell(false, from);
  }

  private tell(coordinates: boolean, to: string | undefined): void {
    this.coordinates = coordinates;
    const { clock, log, metrics, rank, size } = this.parts;
    const unlookedForMs = Math.round(clock.nowMs() - this.lookedAtMs);
    metrics.count('coordinator_changes_total', { to: coordinates ? 'self' : 'other' });
    log.info(coordinates ? 'coordinator.began' : 'coordinator.ended', {
      rank: rank(),
      ranks: size(),
      unlookedMs: unlookedForMs,
      to,
    });
  }
}
