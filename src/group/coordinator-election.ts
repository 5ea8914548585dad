/**
 * Decides which agent of a group coordinates. The coordinator polls the others; an agent that has
 * not been polled for long enough becomes a candidate, lower ranks first. Before a candidate takes
 * over it asks the others whether another coordinator polls them.
 */
import type { Clock } from '../core/clock/index.js';
import type { RankReply } from '../core/groups/index.js';
import type { Log } from '../core/logging/index.js';
import type { Metrics } from '../core/metrics/index.js';
import { TAKEOVER_STAGGER_MS, takeoverTimeoutMs } from './consts.js';

/** Dependencies of the election. */
export interface CoordinatorElectionDeps {
  /** Address of this agent. */
  readonly self: string;
  /** Rank of the own engine; undefined until the engine has reported it. */
  readonly rank: () => number | undefined;
  /** Number of agents in the group. */
  readonly size: () => number;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** An agent that acts as coordinator, and when it was last observed, monotonic ms. */
interface ObservedCoordinator {
  readonly from: string;
  readonly atMs: number;
}

/** One agent's view of who coordinates its group. */
export class CoordinatorElection {
  /** When another coordinator was last known to be active. */
  private coordinatorSeenAtMs: number;
  /** The agent that recently polled this one; of several, the one with the lowest address. */
  private heard: ObservedCoordinator | undefined;
  private isCoordinating = false;

  constructor(private readonly deps: CoordinatorElectionDeps) {
    this.coordinatorSeenAtMs = deps.clock.nowMs();
  }

  /**
   * Records a poll from another agent; of two coordinators the one with the lower address
   * continues.
   */
  recordPoll(from: string): void {
    if (from === this.deps.self) return;
    const atMs = this.deps.clock.nowMs();
    if (!this.heard || !this.isRecent(this.heard) || from <= this.heard.from)
      this.heard = { from, atMs };
    if (from < this.deps.self || !this.isCandidate()) this.recordCoordinator({ from, atMs });
  }

  /**
   * Records which coordinator another agent observes. A coordinator may be unreachable from here
   * but not from others, behind a network partition or in a branch with an unresponsive forwarder.
   * If this agent took over then, the two coordinators would abort each other's rounds; one such
   * case left a group without a new map for 8.5 s.
   */
  recordReply(reply: RankReply): void {
    const { heard } = reply;
    if (!heard || heard.from >= this.deps.self) return;
    this.recordCoordinator({ from: heard.from, atMs: this.deps.clock.nowMs() - heard.agoMs });
  }

  /**
   * Returns the agent that recently polled this one, unless it is the asker itself.
   * @example election.recentPollerExcept(order.from)?.agoMs // 120
   */
  recentPollerExcept(asker: string | undefined): RankReply['heard'] {
    const { heard: lastPoller } = this;
    if (!lastPoller || lastPoller.from === asker || !this.isRecent(lastPoller)) return undefined;
    return { from: lastPoller.from, agoMs: Math.round(this.deps.clock.nowMs() - lastPoller.atMs) };
  }

  /** Whether no coordinator is known and this agent's takeover timeout has expired. */
  isCandidate(): boolean {
    const { rank, size, clock } = this.deps;
    const ownRank = rank();
    if (ownRank === undefined) return false;
    return (
      clock.nowMs() - this.coordinatorSeenAtMs >
      takeoverTimeoutMs(size()) + ownRank * TAKEOVER_STAGGER_MS
    );
  }

  /**
   * Whether this agent coordinates, given the replies of the others to its poll.
   * @example if (election.isCandidate()) { await poll(); if (election.shouldCoordinate()) await runRound(); }
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
