/**
 * Coordinator of a group: polls every rank, and switches to a new expert map when the gain
 * outweighs the copies.
 */
import { errorText } from '../core/errors/index.js';
import type {
  ChooseMap,
  ExpertMap,
  GroupSnapshot,
  RankOrder,
  RankReply,
  SwitchOutcome,
} from '../core/groups/index.js';
import type { Log } from '../core/logging/index.js';
import type { Metrics } from '../core/metrics/index.js';
import { hostOf, type EngineInfo } from '../core/published/index.js';
import {
  SWITCHING_POLL_INTERVAL_MS,
  MIN_SKEW_IMPROVEMENT,
  MIN_DIGEST_REPLIES,
  LARGE_GROUP_POLL_INTERVAL_MS,
  LOG_INTERVAL_MS,
  POLL_INTERVAL_MS,
  MAX_DIRECT_CALLS,
  UNRESPONSIVE_AFTER_MS,
  SKEW_LOG_INTERVAL_MS,
  STALLED_AFTER_MS,
} from './consts.js';
import { DigestBuilder } from './digest-builder.js';
import { GroupPoller, type GroupPollerDeps, type PollResult } from './group-poller.js';
import { addressesOf, KnownMaps, sortByRank, type GroupReplies } from './group-view.js';
import { LatestDigest } from './latest-digest.js';
import { toExpertMap, MapPlanner } from './map-planner.js';
import { RoundTimes } from './round-times.js';
import { SwitchRounds, type SwitchRoundOptions } from './switch-rounds.js';

/** Dependencies of the coordinator. */
export interface CoordinatorDeps extends GroupPollerDeps {
  readonly engine: () => EngineInfo | undefined;
  /**
   * Sends an order directly to the engine beside an agent; used only while that agent is
   * unresponsive.
   */
  readonly callEngineDirectly: (address: string, order: RankOrder) => Promise<RankReply>;
  /** Waits, ms; tests may supply simulated time. */
  readonly pause: (ms: number) => Promise<void>;
  readonly random: () => number;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** Tells an agent whether it coordinates. */
export interface CoordinatorRole {
  /** Whether it should poll the group. */
  readonly isCandidate: () => boolean;
  /** Whether it should act on the poll's result. */
  readonly shouldCoordinate: () => boolean;
}

/** Coordinates the group while its role says so. */
export class CoordinatorTask {
  private readonly poller: GroupPoller;
  private readonly maps = new KnownMaps();
  private readonly planner: MapPlanner;
  private readonly rounds: SwitchRounds;
  private readonly digestBuilder: DigestBuilder;
  private readonly latestDigest: LatestDigest;
  private isSwitching = false;
  /** Whether the last iteration polled the group. */
  private isPolling = false;
  /**
   * When an agent was first found unresponsive while a switch was open or the group stalled,
   * monotonic ms; reset by a successful poll.
   */
  private unresponsiveSinceMs: number | undefined;
  private lastStep = 0;
  private lastStepAtMs = 0;
  private loggedAtMs = Number.NEGATIVE_INFINITY;
  private skewLoggedAtMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly deps: CoordinatorDeps) {
    this.poller = new GroupPoller(deps);
    this.digestBuilder = new DigestBuilder(deps.clock, deps.log);
    this.latestDigest = new LatestDigest(deps.clock);
    this.planner = new MapPlanner(deps.clock);
    this.rounds = new SwitchRounds(deps, () => this.latestDigest.read()?.stepMs ?? 0);
  }

  /** Runs until the signal aborts. */
  async run(role: CoordinatorRole, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.deps.pause(this.pollIntervalMs() * (0.9 + 0.2 * this.deps.random()));
      this.isPolling = role.isCandidate();
      if (!this.isPolling) continue;
      try {
        await this.runRound(role);
      } catch (err) {
        this.recordSkippedRound('round failed', errorText(err));
      }
    }
  }

  private pollIntervalMs(): number {
    // A candidate must check its role more often than the takeover stagger between ranks.
    if (!this.isPolling || this.deps.agents().length <= MAX_DIRECT_CALLS) return POLL_INTERVAL_MS;
    return this.isSwitching ? SWITCHING_POLL_INTERVAL_MS : LARGE_GROUP_POLL_INTERVAL_MS;
  }

  private async runRound(role: CoordinatorRole): Promise<void> {
    const startedAtMs = this.deps.clock.nowMs();
    const polled = await this.poller.poll(
      this.latestDigest.read(),
      this.maps.ids,
      this.isSwitching,
    );
    if (!role.shouldCoordinate()) return;
    if (polled.kind === 'unseen')
      return this.handleIncompletePoll(polled.addresses, polled.replies);
    this.unresponsiveSinceMs = undefined;
    this.updateDigest(polled, this.deps.clock.nowMs() - startedAtMs);
    this.rounds.recordEpochs(polled.replies);
    this.planner.addCounts(polled.fresh);
    // Polling continues during a switch: entries and the next plan need its results.
    // Replies of an earlier poll must not start a round that a rank may leave unanswered.
    if (!this.isSwitching && polled.isWhole) this.advance(polled.replies, polled.addresses);
  }

  /**
   * Stores the digest of a poll, unless too few ranks replied to represent the group. `tookMs` is
   * its initial age.
   */
  private updateDigest(polled: Extract<PollResult, { kind: 'seen' }>, tookMs: number): void {
    if (polled.loadReplies.length < Math.min(MIN_DIGEST_REPLIES, polled.replies.length)) return;
    const digest = this.digestBuilder.build(
      polled.replies,
      polled.loadReplies,
      polled.addresses.map(hostOf),
    );
    this.latestDigest.update({ ...digest, ageMs: tookMs });
  }

  private handleIncompletePoll(
    addresses: readonly string[],
    replies: readonly (RankReply | undefined)[],
  ): void {
    this.latestDigest.update(this.digestBuilder.build(undefined, [], []));
    const unresponsive = addresses.filter((_, i) => replies[i]?.rank === undefined);
    this.recordSkippedRound(
      'group not whole',
      `${unresponsive.length} of ${addresses.length}: ${unresponsive.join(',')}`,
    );
    if (replies.some((reply) => reply?.armed) || this.isStalled(replies))
      this.recoverIfUnresponsive(addresses, replies);
  }

  /**
   * Whether the group has work but has started no step for too long: an unresponsive rank may be
   * holding it.
   */
  private isStalled(replies: readonly (RankReply | undefined)[]): boolean {
    const nowMs = this.deps.clock.nowMs();
    const step = Math.max(...replies.map((reply) => reply?.step ?? 0));
    if (step !== this.lastStep) [this.lastStep, this.lastStepAtMs] = [step, nowMs];
    const hasWork = replies.some((reply) => (reply?.running ?? 0) > 0);
    return hasWork && nowMs - this.lastStepAtMs > STALLED_AFTER_MS;
  }

  /**
   * Starts recovery once an agent has been unresponsive for long enough; polling continues
   * meanwhile.
   */
  private recoverIfUnresponsive(
    addresses: readonly string[],
    replies: readonly (RankReply | undefined)[],
  ): void {
    const nowMs = this.deps.clock.nowMs();
    this.unresponsiveSinceMs ??= nowMs;
    if (this.isSwitching || nowMs - this.unresponsiveSinceMs < UNRESPONSIVE_AFTER_MS) return;
    this.trackSwitch(this.recover(addresses, replies));
  }

  /** Tracks a switch that has started; only one runs at a time. */
  private trackSwitch(switching: Promise<unknown>): void {
    this.isSwitching = true;
    void switching
      .catch((err: unknown) => this.deps.log.warn('group.switch', { err: errorText(err) }))
      .finally(() => (this.isSwitching = false));
  }

  /**
   * Completes a switch that an unresponsive agent left open: its rank may hold the group, which no
   * other agent can see. Engine fences reject whatever that agent still sends when it resumes.
   */
  private async recover(
    addresses: readonly string[],
    replies: readonly (RankReply | undefined)[],
  ): Promise<void> {
    const poll: RankOrder = { group: '', kind: 'look', epoch: 0 };
    const unresponsive = new Set<string>();
    const all = await Promise.all(
      addresses.map(async (address, i) => {
        if (replies[i]?.rank !== undefined) return replies[i];
        const reply = await this.deps.callEngineDirectly(address, poll).catch(() => undefined);
        if (!this.poller.mayBeMember(reply)) return undefined;
        unresponsive.add(address);
        return reply;
      }),
    );
    const ordered = sortByRank(all, addresses.length);
    if (!ordered)
      throw new Error(
        'cannot recover the group: ranks are still missing after calling the engines of unresponsive agents directly',
      );
    this.rounds.recordEpochs(ordered);
    const addressByRank = addressesOf(ordered, all, addresses);
    const end = await this.rounds.run(addressByRank, () => undefined, { silent: unresponsive });
    this.deps.log.info('group.rescue', { silent: [...unresponsive].join(','), end: end.kind });
  }

  private advance(ordered: GroupReplies, addressByRank: readonly string[]): void {
    // A map confirmed by every rank takes effect by itself at its step.
    if (ordered.every((reply) => reply.armed?.confirmed)) return;
    const isOpen = ordered.some((reply) => reply.armed);
    this.trackSwitch(
      isOpen
        ? this.runSwitch(ordered, addressByRank, () => undefined)
        : this.rebalance(ordered, addressByRank),
    );
  }

  /**
   * Runs a round. If ranks of a large group leave its decision unanswered, their agents may be
   * frozen while their engines hold the group: the switch is then completed at the engines directly,
   * without waiting for polls to show it. In a small group all attempts at a decision take 0.4 s.
   */
  private async runSwitch(
    ordered: GroupReplies,
    addressByRank: readonly string[],
    choose: ChooseMap,
    options?: SwitchRoundOptions,
  ): Promise<SwitchOutcome> {
    const endsAtSilence = addressByRank.length > MAX_DIRECT_CALLS;
    const end = await this.rounds.run(addressByRank, choose, { ...options, endsAtSilence });
    if (end.kind !== 'blocked' || end.silent.length === 0) return end;
    const silent = new Set(end.silent);
    const replies = ordered.map((reply, rank) => (silent.has(rank) ? undefined : reply));
    await this.recover(addressByRank, replies);
    return end;
  }

  private async rebalance(replies: GroupReplies, addressByRank: readonly string[]): Promise<void> {
    const current = this.maps.inUse(replies);
    const plan = current && this.planner.plan(current, replies, this.deps.engine());
    if (!plan) return;
    this.deps.metrics.observe('group_skew_permille', plan.skewBefore * 1000);
    this.logSkew(plan.skewBefore);
    if (plan.copies === 0 || plan.skewBefore < plan.skewAfter * MIN_SKEW_IMPROVEMENT) return;
    const startedAtMs = this.deps.clock.nowMs();
    const base = toExpertMap(replies[0]?.mapId ?? '', current);
    const choose = (view: GroupSnapshot): ExpertMap | undefined => {
      if (view.mapId !== base.id) return undefined;
      const map = toExpertMap(view.epoch, plan.placement);
      this.maps.add(map.id, plan.placement);
      return map;
    };
    const times = new RoundTimes(this.deps.clock);
    const end = await this.runSwitch(replies, addressByRank, choose, { base, times });
    this.deps.log.info('group.switch', {
      end: end.kind,
      detail: 'detail' in end ? end.detail : undefined,
      mapId: 'mapId' in end ? end.mapId : undefined,
      step: 'step' in end ? end.step : undefined,
      copies: plan.copies,
      skewBefore: Number(plan.skewBefore.toFixed(3)),
      skewAfter: Number(plan.skewAfter.toFixed(3)),
      tokens: Math.round(plan.tokens),
      planMs: Math.round(plan.tookMs),
      tookMs: Math.round(this.deps.clock.nowMs() - startedAtMs),
      times: times.text,
    });
  }

  /** Logs the current skew, rate-limited. */
  private logSkew(skew: number): void {
    const nowMs = this.deps.clock.nowMs();
    if (nowMs - this.skewLoggedAtMs < SKEW_LOG_INTERVAL_MS) return;
    this.skewLoggedAtMs = nowMs;
    const stepMs = this.latestDigest.read()?.stepMs;
    this.deps.log.info('group.seen', { skew: Number(skew.toFixed(2)), stepMs });
  }

  /** Counts a round that cannot run and logs the reason, rate-limited. */
  private recordSkippedRound(why: string, detail: string): void {
    const nowMs = this.deps.clock.nowMs();
    this.deps.metrics.count('rounds_without_group_total', { why });
    if (nowMs - this.loggedAtMs < LOG_INTERVAL_MS) return;
    this.loggedAtMs = nowMs;
    this.deps.log.info('group.waiting', { why, detail });
  }
}
