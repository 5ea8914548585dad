/** Plans the next expert map of a group from the token counts of its ranks. */
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

/** A plan, and the basis for it. */
export interface MapPlan extends RoundPlan {
  /** Tokens per layer in the demand estimate. */
  readonly tokens: number;
  /** Planning time, ms. */
  readonly tookMs: number;
}

/**
 * Builds a map with its id. The map of a round uses the round's epoch, which no other round can
 * have used.
 * @example toExpertMap(view.epoch, plan.placement).id // '4096'
 */
export function toExpertMap(id: number | string, placement: Placement): ExpertMap {
  return { id: String(id), layers: placement.map((layer) => layer.map((rank) => [...rank])) };
}

/** Plans on behalf of one coordinator. */
export class MapPlanner {
  private estimate: DemandEstimate | undefined;
  /** When the last plan was made, and how long it took, ms. */
  private lastPlan = { atMs: Number.NEGATIVE_INFINITY, tookMs: 0 };

  constructor(private readonly clock: Clock) {}

  /** Adds the tokens that ranks counted since the previous poll. */
  addCounts(replies: readonly RankReply[]): void {
    const counts = sumCounts(replies);
    if (!counts) return;
    this.estimate ??= new DemandEstimate(counts.length, counts[0]?.length ?? 0);
    this.estimate.add(counts, this.clock.nowMs());
  }

  /**
   * Plans changes to the current map; undefined while too little is known, or too soon after a slow
   * plan.
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
      maxNewPerRank: maxNewPerRound(engine),
      maxNewPerRankAndLayer: engine.maxNewPerRankAndLayer,
      minGainPerCopy: minGainPerCopy(engine, totalLoad(replies)),
      pace: replies.map((reply) => reply.pace ?? 1),
    });
    const atMs = this.clock.nowMs();
    this.lastPlan = { atMs, tookMs: atMs - startedAtMs };
    return { ...plan, tokens, tookMs: this.lastPlan.tookMs };
  }

  /** Planning blocks the event loop, so most of the time must be left for answering calls. */
  private isDue(): boolean {
    const { atMs, tookMs } = this.lastPlan;
    return this.clock.nowMs() - atMs >= PLAN_IDLE_FACTOR * tookMs;
  }
}
