/** Plans the next map of a group from what its ranks counted. */
import type { Clock } from '../core/clock/index.js';
import type { ExpertMap, RankReply } from '../core/groups/index.js';
import {
  DemandEstimate,
  planRound,
  type Placement,
  type RoundPlan,
} from '../core/placement/index.js';
import type { EngineInfo } from '../core/published/index.js';
import { MIN_TOKENS, PLAN_IDLE_FACTOR } from './consts.js';
import { sumCounts, totalLoad, type GroupReplies } from './group-view.js';
import { minGainPerCopy, maxNewPerRound } from './round-policy.js';

/** A plan, and what it rests on. */
export interface MapPlan extends RoundPlan {
  /** Tokens of a layer that the estimate of demand holds. */
  readonly tokens: number;
  /** How long it took to make, ms. */
  readonly tookMs: number;
}

/**
 * A map by its id. That of a round is the round's epoch, so that no other round can have made it.
 * @example mapOf(view.epoch, plan.placement).id // '4096'
 */
export function toExpertMap(id: number | string, placement: Placement): ExpertMap {
  return { id: String(id), layers: placement.map((layer) => layer.map((rank) => [...rank])) };
}

/** Plans of one coordinator. */
export class MapPlanner {
  private estimate: DemandEstimate | undefined;
  /** When the last plan was made, and how long it took, ms. */
  private lastPlan = { atMs: Number.NEGATIVE_INFINITY, tookMs: 0 };

  constructor(private readonly clock: Clock) {}

  /** Takes what ranks have counted since they were asked last. */
  addCounts(replies: readonly RankReply[]): void {
    const counts = sumCounts(replies);
    if (!counts) return;
    this.estimate ??= new DemandEstimate(counts.length, counts[0]?.length ?? 0);
    this.estimate.add(counts, this.clock.nowMs());
  }

  /**
   * A plan away from the map in use; undefined while too little is known, or the last plan took long and was a moment ago.
   * @example planner.plan(current, replies, engine)?.copies
   */
  plan(
    current: Placement,
    replies: GroupReplies,
    engine: EngineInfo | undefined,
  ): MapPlan | undefined {
    const demand = this.estimate?.read();
    const tokens = demand?.[0]?.reduce((sum, count) => sum + count, 0) ?? 0;
    if (!engine || !demand || tokens < MIN_TOKENS || !this.isDue()) return undefined;
    const startedAtMs = this.clock.nowMs();
    const plan = planRound(current, demand, {
      slotsPerRank: engine.slotsPerRank,
      mostNew: maxNewPerRound(engine),
      mostNewInLayer: engine.mostNew,
      gainPerCopy: minGainPerCopy(engine, totalLoad(replies)),
      pace: replies.map((reply) => reply.pace ?? 1),
    });
    const atMs = this.clock.nowMs();
    this.lastPlan = { atMs, tookMs: atMs - startedAtMs };
    return { ...plan, tokens, tookMs: this.lastPlan.tookMs };
  }

  /** Nobody is answered while a plan is made, so that most of the time has to be left for that. */
  private isDue(): boolean {
    const { atMs, tookMs } = this.lastPlan;
    return this.clock.nowMs() - atMs >= PLAN_IDLE_FACTOR * tookMs;
  }
}
