/** The coordinator of a group: looks at every rank, and brings in a new map when it is worth its copies. */
import { errorText } from '../core/errors/index.js';
import type { ExpertMap, GroupView, RankOrder, RankReply } from '../core/groups/index.js';
import type { Log } from '../core/logging/index.js';
import type { Metrics } from '../core/metrics/index.js';
import { hostOf, type EngineInfo } from '../core/published/index.js';
import {
  BUSY_LOOK_PAUSE_MS,
  LEAST_SKEW_GAIN,
  LEAST_TOLD_RANKS,
  LARGE_LOOK_PAUSE_MS,
  LOG_PAUSE_MS,
  LOOK_PAUSE_MS,
  MOST_DIRECT,
  SILENT_MS,
  SKEW_LOG_PAUSE_MS,
  STANDS_MS,
} from './consts.js';
import { Digester } from './digest.js';
import { GroupLooks, type LookParts, type Sighting } from './group-looks.js';
import { addressesOf, KnownMaps, orderReplies, type GroupReplies } from './group-view.js';
import { HeldDigest } from './held-digest.js';
import { mapOf, MapPlanner } from './map-planner.js';
import { RoundTimes } from './round-times.js';
import { SwitchRounds } from './switch-rounds.js';

/** What a coordinator needs. */
export interface CoordinatorParts extends LookParts {
  readonly engine: () => EngineInfo | undefined;
  /** Acts for the agent at an address, straight on its engine; used only while that agent is silent. */
  readonly standIn: (address: string, order: RankOrder) => Promise<RankReply>;
  /** Waits, ms; a test may bring its own time. */
  readonly pause: (ms: number) => Promise<void>;
  readonly random: () => number;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** Tells an agent whether it coordinates. */
export interface CoordinatorLine {
  /** Whether it is to look at the group. */
  readonly isDue: () => boolean;
  /** Whether it is to act on what it saw. */
  readonly takesOver: () => boolean;
}

/** Coordinates while its line says so. */
export class CoordinatorTask {
  private readonly looks: GroupLooks;
  private readonly maps = new KnownMaps();
  private readonly planner: MapPlanner;
  private readonly rounds: SwitchRounds;
  private readonly digester: Digester;
  private readonly digest: HeldDigest;
  private isSwitching = false;
  /** Whether it looked at the group the last time that it was to see to it. */
  private looksOn = false;
  /** Since when some agent has not answered, while a switch is open. */
  private silentSinceMs: number | undefined;
  private lastStep = 0;
  private steppedAtMs = 0;
  private loggedAtMs = Number.NEGATIVE_INFINITY;
  private skewLoggedAtMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly parts: CoordinatorParts) {
    this.looks = new GroupLooks(parts);
    this.digester = new Digester(parts.clock);
    this.digest = new HeldDigest(parts.clock);
    this.planner = new MapPlanner(parts.clock);
    this.rounds = new SwitchRounds(parts, () => this.digest.read()?.stepMs ?? 0);
  }

  /** Runs until the signal aborts. */
  async run(line: CoordinatorLine, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.parts.pause(this.pauseMs() * (0.9 + 0.2 * this.parts.random()));
      this.looksOn = line.isDue();
      if (!this.looksOn) continue;
      try {
        await this.round(line);
      } catch (err) {
        this.note('round failed', errorText(err));
      }
    }
  }

  private pauseMs(): number {
    // Who may have to take over looks whether it has to more often than agents take over from one another.
    if (!this.looksOn || this.parts.agents().length <= MOST_DIRECT) return LOOK_PAUSE_MS;
    return this.isSwitching ? BUSY_LOOK_PAUSE_MS : LARGE_LOOK_PAUSE_MS;
  }

  private async round(line: CoordinatorLine): Promise<void> {
    const startedAtMs = this.parts.clock.nowMs();
    const seen = await this.looks.look(this.digest.read(), this.maps.ids, this.isSwitching);
    if (!line.takesOver()) return;
    if (seen.kind === 'unseen') return this.goOnUnseen(seen.addresses, seen.replies);
    this.silentSinceMs = undefined;
    this.takeDigest(seen, this.parts.clock.nowMs() - startedAtMs);
    this.rounds.noteEpochs(seen.replies);
    this.planner.takeCounts(seen.fresh);
    // Looks go on while a switch is made: entries and the next plan need what they tell.
    if (!this.isSwitching) this.goOn(seen.replies, seen.addresses);
  }

  /** Keeps the digest of a look that took so long, unless too few ranks answered to tell of all. */
  private takeDigest(seen: Extract<Sighting, { kind: 'seen' }>, tookMs: number): void {
    if (seen.telling.length < Math.min(LEAST_TOLD_RANKS, seen.replies.length)) return;
    const digest = this.digester.take(seen.replies, seen.telling, seen.addresses.map(hostOf));
    this.digest.take({ ...digest, ageMs: tookMs });
  }

  private goOnUnseen(
    addresses: readonly string[],
    replies: readonly (RankReply | undefined)[],
  ): void {
    this.digest.take(this.digester.take(undefined, [], []));
    const silent = addresses.filter((_, i) => replies[i]?.rank === undefined);
    this.note('group not whole', `${silent.length} of ${addresses.length}: ${silent.join(',')}`);
    if (replies.some((reply) => reply?.armed) || this.stands(replies))
      this.startRescue(addresses, replies);
  }

  /** Whether the group has work and has not begun a step for long: a rank that is not seen may hold it. */
  private stands(replies: readonly (RankReply | undefined)[]): boolean {
    const nowMs = this.parts.clock.nowMs();
    const step = Math.max(...replies.map((reply) => reply?.step ?? 0));
    if (step !== this.lastStep) [this.lastStep, this.steppedAtMs] = [step, nowMs];
    const hasWork = replies.some((reply) => (reply?.running ?? 0) > 0);
    return hasWork && nowMs - this.steppedAtMs > STANDS_MS;
  }

  /** Begins a rescue once an agent has been silent for long enough; looks go on meanwhile. */
  private startRescue(
    addresses: readonly string[],
    replies: readonly (RankReply | undefined)[],
  ): void {
    const nowMs = this.parts.clock.nowMs();
    this.silentSinceMs ??= nowMs;
    if (this.isSwitching || nowMs - this.silentSinceMs < SILENT_MS) return;
    this.startSwitch(this.rescue(addresses, replies));
  }

  /** Takes a switch that has begun; there is one at a time. */
  private startSwitch(work: Promise<unknown>): void {
    this.isSwitching = true;
    void work
      .catch((err: unknown) => this.parts.log.warn('group.switch', { err: errorText(err) }))
      .finally(() => (this.isSwitching = false));
  }

  /**
   * Ends a switch that a silent agent left open: its rank may hold the group, which nobody else sees.
   * The engines' fences keep whatever that agent still does when it wakes from counting.
   */
  private async rescue(
    addresses: readonly string[],
    replies: readonly (RankReply | undefined)[],
  ): Promise<void> {
    const look: RankOrder = { group: '', kind: 'look', epoch: 0 };
    const silent = new Set<string>();
    const all = await Promise.all(
      addresses.map(async (address, i) => {
        if (replies[i]?.rank !== undefined) return replies[i];
        const reply = await this.parts.standIn(address, look).catch(() => undefined);
        if (!this.looks.isOwn(reply)) return undefined;
        silent.add(address);
        return reply;
      }),
    );
    const ordered = orderReplies(all, addresses.length);
    if (!ordered) throw new Error('an engine whose agent is silent cannot be reached either');
    this.rounds.noteEpochs(ordered);
    const byRank = addressesOf(ordered, all, addresses);
    const end = await this.rounds.run(byRank, () => undefined, { silent });
    this.parts.log.info('group.rescue', { silent: [...silent].join(','), end: end.kind });
  }

  private goOn(ordered: GroupReplies, byRank: readonly string[]): void {
    // A map that every rank has confirmed comes into use by itself as its step begins.
    if (ordered.every((reply) => reply.armed?.confirmed)) return;
    const isOpen = ordered.some((reply) => reply.armed);
    this.startSwitch(
      isOpen ? this.rounds.run(byRank, () => undefined) : this.improve(ordered, byRank),
    );
  }

  private async improve(replies: GroupReplies, byRank: readonly string[]): Promise<void> {
    const current = this.maps.inUse(replies);
    const plan = current && this.planner.plan(current, replies, this.parts.engine());
    if (!plan) return;
    this.parts.metrics.observe('group_skew_permille', plan.skewBefore * 1000);
    this.noteSkew(plan.skewBefore);
    if (plan.copies === 0 || plan.skewBefore < plan.skewAfter * LEAST_SKEW_GAIN) return;
    const startedAtMs = this.parts.clock.nowMs();
    const base = mapOf(replies[0]?.mapId ?? '', current);
    const choose = (view: GroupView): ExpertMap | undefined => {
      if (view.mapId !== base.id) return undefined;
      const map = mapOf(view.epoch, plan.placement);
      this.maps.note(map.id, plan.placement);
      return map;
    };
    const times = new RoundTimes(this.parts.clock);
    const end = await this.rounds.run(byRank, choose, { base, times });
    this.parts.log.info('group.switch', {
      end: end.kind,
      detail: 'detail' in end ? end.detail : undefined,
      mapId: 'mapId' in end ? end.mapId : undefined,
      step: 'step' in end ? end.step : undefined,
      copies: plan.copies,
      skewBefore: Number(plan.skewBefore.toFixed(3)),
      skewAfter: Number(plan.skewAfter.toFixed(3)),
      tokens: Math.round(plan.tokens),
      planMs: Math.round(plan.tookMs),
      tookMs: Math.round(this.parts.clock.nowMs() - startedAtMs),
      times: times.text,
    });
  }

  /** Logs the skew that is lived with, now and then. */
  private noteSkew(skew: number): void {
    const nowMs = this.parts.clock.nowMs();
    if (nowMs - this.skewLoggedAtMs < SKEW_LOG_PAUSE_MS) return;
    this.skewLoggedAtMs = nowMs;
    const stepMs = this.digest.read()?.stepMs;
    this.parts.log.info('group.seen', { skew: Number(skew.toFixed(2)), stepMs });
  }

  /** Logs why no round can be made, now and then. */
  private note(why: string, detail: string): void {
    const nowMs = this.parts.clock.nowMs();
    this.parts.metrics.count('rounds_without_group_total', { why });
    if (nowMs - this.loggedAtMs < LOG_PAUSE_MS) return;
    this.loggedAtMs = nowMs;
    this.parts.log.info('group.waiting', { why, detail });
  }
}
