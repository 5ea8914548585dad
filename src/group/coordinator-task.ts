/** The coordinator of a group: looks at every rank, and brings in a new map when it is worth its copies. */
import { errorText } from '../core/errors/index.js';
import {
  nextEpoch,
  runSwitch,
  type CalledRank,
  type Coordination,
  type ExpertMap,
  type GroupView,
  type RankOrder,
  type RankReply,
} from '../core/groups/index.js';
import type { Log } from '../core/logging/index.js';
import type { Metrics } from '../core/metrics/index.js';
import { DemandEstimate, planRound, type Placement } from '../core/placement/index.js';
import { hostOf, type EngineInfo } from '../core/published/index.js';
import {
  answerTimes,
  BUSY_LOOK_PAUSE_MS,
  LEAST_SKEW_GAIN,
  LEAST_TOKENS,
  LEAST_TOLD_RANKS,
  LOG_PAUSE_MS,
  LOOK_PAUSE_MS,
  MOST_DIRECT,
  PLAN_REST,
  PREPARE_ORDER_MS,
  SILENT_MS,
  SKEW_LOG_PAUSE_MS,
  STANDS_MS,
} from './consts.js';
import { Digester } from './digest.js';
import { HeldDigest } from './held-digest.js';
import { gainPerCopy, newPerRound } from './round-policy.js';
import { RoundTimes } from './round-times.js';
import { SwitchMargin } from './switch-margin.js';
import type { Replies } from './fan-out.js';
import { GroupLooks, type LookParts, type Sighting } from './group-looks.js';
import {
  addressesOf,
  countsOf,
  KnownMaps,
  orderReplies,
  runningOf,
  type GroupReplies,
} from './group-view.js';

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

/** What a switch may know besides its ranks. */
interface SwitchExtras {
  /** Agents that do not answer, by address. */
  readonly silent?: ReadonlySet<string>;
  /** The map in use, as ranks may hold it. */
  readonly base?: ExpertMap;
  /** Takes the times of its parts. */
  readonly times?: RoundTimes;
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
  private estimate: DemandEstimate | undefined;
  private readonly looks: GroupLooks;
  private readonly maps = new KnownMaps();
  private readonly margin: SwitchMargin;
  private readonly digester: Digester;
  private readonly digest: HeldDigest;
  private isSwitching = false;
  /** When the last plan was made, and how long it took, ms. */
  private planned = { atMs: Number.NEGATIVE_INFINITY, tookMs: 0 };
  /** Since when some agent has not answered, while a switch is open. */
  private silentSinceMs: number | undefined;
  private lastStep = 0;
  private steppedAtMs = 0;
  private highestEpoch = 0;
  private loggedAtMs = Number.NEGATIVE_INFINITY;
  private skewLoggedAtMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly parts: CoordinatorParts) {
    this.looks = new GroupLooks(parts);
    this.digester = new Digester(parts.clock);
    this.digest = new HeldDigest(parts.clock);
    this.margin = new SwitchMargin(parts.clock);
  }

  /** Runs until the signal aborts. */
  async run(line: CoordinatorLine, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.parts.pause(this.pauseMs() * (0.9 + 0.2 * this.parts.random()));
      if (!line.isDue()) continue;
      try {
        await this.round(line);
      } catch (err) {
        this.note('round failed', errorText(err));
      }
    }
  }

  private pauseMs(): number {
    const isLarge = this.parts.agents().length > MOST_DIRECT;
    return isLarge && this.isSwitching ? BUSY_LOOK_PAUSE_MS : LOOK_PAUSE_MS;
  }

  private async round(line: CoordinatorLine): Promise<void> {
    const startedAtMs = this.parts.clock.nowMs();
    const seen = await this.looks.look(this.digest.read(), this.maps.ids, this.isSwitching);
    if (!line.takesOver()) return;
    if (seen.kind === 'unseen') return this.goOnUnseen(seen.addresses, seen.replies);
    this.silentSinceMs = undefined;
    this.takeDigest(seen, this.parts.clock.nowMs() - startedAtMs);
    this.noteEpochs(seen.replies);
    this.takeCounts(seen.fresh);
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
    this.noteEpochs(ordered);
    const byRank = addressesOf(ordered, all, addresses);
    const end = await this.switchMaps(byRank, () => undefined, { silent });
    this.parts.log.info('group.rescue', { silent: [...silent].join(','), end: end.kind });
  }

  private goOn(ordered: GroupReplies, byRank: readonly string[]): void {
    // A map that every rank has confirmed comes into use by itself as its step begins.
    if (ordered.every((reply) => reply.armed?.confirmed)) return;
    const isOpen = ordered.some((reply) => reply.armed);
    this.startSwitch(
      isOpen ? this.switchMaps(byRank, () => undefined) : this.improve(ordered, byRank),
    );
  }

  /** Fences and versions rise over everything that any rank has seen or holds. */
  private noteEpochs(replies: GroupReplies): void {
    for (const reply of replies)
      this.highestEpoch = Math.max(
        this.highestEpoch,
        reply.promised,
        reply.lastConfirmed ?? 0,
        reply.armed?.epoch ?? 0,
      );
  }

  private takeCounts(replies: readonly RankReply[]): void {
    const counts = countsOf(replies);
    if (!counts) return;
    this.estimate ??= new DemandEstimate(counts.length, counts[0]?.length ?? 0);
    this.estimate.add(counts, this.parts.clock.nowMs());
  }

  private async improve(replies: GroupReplies, byRank: readonly string[]): Promise<void> {
    const engine = this.parts.engine();
    const current = this.maps.inUse(replies);
    const popularity = this.estimate?.read();
    if (!engine || !current || !popularity) return;
    const tokens = popularity[0]?.reduce((sum, count) => sum + count, 0) ?? 0;
    if (tokens < LEAST_TOKENS || !this.isPlanDue()) return;
    const planAtMs = this.parts.clock.nowMs();
    const pace = replies.map((reply) => reply.pace ?? 1);
    const plan = planRound(current, popularity, {
      slotsPerRank: engine.slotsPerRank,
      mostNew: newPerRound(engine),
      mostNewInLayer: engine.mostNew,
      gainPerCopy: gainPerCopy(engine, runningOf(replies)),
      pace,
    });
    this.notePlan(planAtMs);
    this.parts.metrics.observe('group_skew_permille', plan.skewBefore * 1000);
    this.noteSkew(plan.skewBefore);
    if (plan.copies === 0 || plan.skewBefore < plan.skewAfter * LEAST_SKEW_GAIN) return;
    const startedAtMs = this.parts.clock.nowMs();
    const inUse = replies[0]?.mapId ?? '';
    const choose = (view: GroupView): ExpertMap | undefined => {
      if (view.mapId !== inUse) return undefined;
      const map = mapOf(view.epoch, plan.placement);
      this.maps.note(map.id, plan.placement);
      return map;
    };
    const times = new RoundTimes(this.parts.clock);
    const end = await this.switchMaps(byRank, choose, { base: mapOf(inUse, current), times });
    this.parts.log.info('group.switch', {
      end: end.kind,
      detail: 'detail' in end ? end.detail : undefined,
      mapId: 'mapId' in end ? end.mapId : undefined,
      step: 'step' in end ? end.step : undefined,
      copies: plan.copies,
      skewBefore: Number(plan.skewBefore.toFixed(3)),
      skewAfter: Number(plan.skewAfter.toFixed(3)),
      tokens: Math.round(tokens),
      planMs: Math.round(this.planned.tookMs),
      tookMs: Math.round(this.parts.clock.nowMs() - startedAtMs),
      times: times.text,
    });
  }

  /** Whether a plan may be made: nobody is answered while one is, so most of the time is left for that. */
  private isPlanDue(): boolean {
    const { atMs, tookMs } = this.planned;
    return this.parts.clock.nowMs() - atMs >= PLAN_REST * tookMs;
  }

  private notePlan(startedAtMs: number): void {
    const atMs = this.parts.clock.nowMs();
    this.planned = { atMs, tookMs: atMs - startedAtMs };
  }

  private async switchMaps(
    byRank: readonly string[],
    chooseMap: (view: GroupView) => ExpertMap | undefined,
    {
      silent = new Set<string>(),
      base,
      times = new RoundTimes(this.parts.clock),
    }: SwitchExtras = {},
  ): ReturnType<typeof runSwitch> {
    const { parts } = this;
    const own = byRank.indexOf(parts.self);
    const epoch = nextEpoch(this.highestEpoch, Math.max(0, own));
    const coordination: Coordination = {
      group: '',
      ranks: byRank.length,
      callRanks: (order, ranks) =>
        times.timed(
          order.kind,
          this.margin.timed(order.kind, this.callRanks(order, ranks, byRank, silent)),
        ),
      base,
      known: undefined,
      wantsCounts: false,
      marginSteps: () => this.margin.steps(this.digest.read()?.stepMs ?? 0),
    };
    const end = await runSwitch(coordination, epoch, chooseMap);
    this.highestEpoch = Math.max(epoch, end.kind === 'blocked' ? end.highest : 0);
    parts.metrics.count('switch_rounds_total', { end: end.kind });
    return end;
  }

  /** Sends an order of a round; to the engines of silent agents straight. */
  private async callRanks(
    order: RankOrder,
    ranks: readonly CalledRank[],
    byRank: readonly string[],
    silent: ReadonlySet<string>,
  ): Promise<Replies> {
    const members = ranks.map(({ rank, incarnation }) => ({
      address: byRank[rank] ?? '',
      ...(incarnation !== undefined && { incarnation }),
    }));
    const heard = members.filter((member) => !silent.has(member.address));
    const [replies, ...straight] = await Promise.all([
      this.parts.callAll(order, heard, orderMs(order, byRank.length)),
      ...members
        .filter((member) => silent.has(member.address))
        .map(({ address, ...own }) =>
          this.parts.standIn(address, { ...order, ...own }).catch(() => undefined),
        ),
    ]);
    return members.map((member) => (silent.has(member.address) ? straight : replies).shift());
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

function orderMs(order: RankOrder, ranks: number): number {
  if (order.kind === 'prepare') return PREPARE_ORDER_MS;
  const times = answerTimes(ranks);
  return order.kind === 'confirm' || order.kind === 'abort' ? times.decisionMs : times.orderMs;
}

/** A map by its id. That of a round is the round's epoch, so that no other round can have made it. */
function mapOf(id: number | string, placement: Placement): ExpertMap {
  return { id: String(id), layers: placement.map((layer) => layer.map((rank) => [...rank])) };
}
