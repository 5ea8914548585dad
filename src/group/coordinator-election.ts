/**
 * Which agent of a group coordinates. Whoever coordinates looks at the others; an agent that nobody has looked
 * at for long enough is due to take over, those of lower rank first. Before it does, it asks the others whether
 * they have heard of a coordinator.
 */
import type { Clock } from '../core/clock/index.js';
import type { RankReply } from '../core/groups/index.js';
import type { Log } from '../core/logging/index.js';
import type { Metrics } from '../core/metrics/index.js';
import { TAKEOVER_STAGGER_MS, takeoverTimeoutMs } from './consts.js';

/** What an agent needs to know whether it coordinates. */
export interface CoordinatorElectionDeps {
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
interface ObservedCoordinator {
  readonly from: string;
  readonly atMs: number;
}

/** The place of one agent in the line of those who may coordinate. */
export class CoordinatorElection {
  /** When another agent was last known to look after the group. */
  private coordinatorSeenAtMs: number;
  /** Whose looks reached this agent. */
  private heard: ObservedCoordinator | undefined;
  private isCoordinating = false;

  constructor(private readonly deps: CoordinatorElectionDeps) {
    this.coordinatorSeenAtMs = deps.clock.nowMs();
  }

  /** Notes a look of an agent; of two that look after the group the one with the lower address goes on. */
  recordPoll(from: string): void {
    if (from === this.deps.self) return;
    const atMs = this.deps.clock.nowMs();
    if (!this.heard || !this.isRecent(this.heard) || from <= this.heard.from)
      this.heard = { from, atMs };
    if (from < this.deps.self || !this.isCandidate()) this.recordCoordinator({ from, atMs });
  }

  /**
   * Notes what another agent has heard of. An agent may hear nothing of a coordinator that others hear of, as behind a
   * cut, or in a branch whose first agent is silent: where it took over then, the rounds of both ended each other, and no
   * map came into use for 8.5 s (large-group.test).
   */
  recordReply(reply: RankReply): void {
    const { heard } = reply;
    if (!heard || heard.from >= this.deps.self) return;
    this.recordCoordinator({ from: heard.from, atMs: this.deps.clock.nowMs() - heard.agoMs });
  }

  /**
   * Whose looks reached this agent of late, other than those of the asker.
   * @example succession.heardBesides(order.from)?.agoMs // 120
   */
  recentPollerExcept(asker: string | undefined): RankReply['heard'] {
    const { heard: lastPoller } = this;
    if (!lastPoller || lastPoller.from === asker || !this.isRecent(lastPoller)) return undefined;
    return { from: lastPoller.from, agoMs: Math.round(this.deps.clock.nowMs() - lastPoller.atMs) };
  }

  /** Whether nobody is known to look after the group and it is this agent's turn to find out. */
  isCandidate(): boolean {
    const { rank, size, clock } = this.deps;
    const own = rank();
    if (own === undefined) return false;
    return (
      clock.nowMs() - this.coordinatorSeenAtMs >
      takeoverTimeoutMs(size()) + own * TAKEOVER_STAGGER_MS
    );
  }

  /**
   * Whether this agent coordinates, now that it has asked the others.
   * @example if (succession.isDue()) { await look(); if (succession.takesOver()) await round(); }
   */
  shouldCoordinate(): boolean {
    const isCandidate = this.isCandidate();
    if (isCandidate && !this.isCoordinating) this.recordRoleChange(true, undefined);
    return isCandidate;
  }

  private isRecent(observed: ObservedCoordinator): boolean {
    return this.deps.clock.nowMs() - observed.atMs <= takeoverTimeoutMs(this.deps.size());
  }

  private recordCoordinator({ from, atMs }: ObservedCoordinator): void {
    this.coordinatorSeenAtMs = Math.max(this.coordinatorSeenAtMs, atMs);
    if (this.isCoordinating && !this.isCandidate()) this.recordRoleChange(false, from);
  }

  private recordRoleChange(isCoordinating: boolean, to: string | undefined): void {
    this.isCoordinating = isCoordinating;
    const { clock, log, metrics, rank, size } = this.deps;
    const sinceSeenMs = Math.round(clock.nowMs() - this.coordinatorSeenAtMs);
    metrics.count('coordinator_changes_total', { to: isCoordinating ? 'self' : 'other' });
    log.info(isCoordinating ? 'coordinator.began' : 'coordinator.ended', {
      rank: rank(),
      ranks: size(),
      unlookedMs: sinceSeenMs,
      to,
    });
  }
}
