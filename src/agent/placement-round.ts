/** What a coordinator decides in a round: counts in, a new map out when it is worth its cost. */
import { PRELOAD_MS } from '../core/events/index.js';
import type { ChooseMap, ExpertMap, GroupView } from '../core/groups/index.js';
import {
  BALANCED_STEP_MS,
  HALF_LIFE_MS,
  HORIZON_MS,
  MAX_SAVED_MS,
  planPlacement,
  PopularityEstimate,
  withShift,
  type DeclaredShift,
  type PlacementPolicy,
} from '../core/placement/index.js';
import type { DaemonContext } from '../runtime/index.js';
import type { ConfigurationBody, GroupConfig } from '../generated/configuration.types.js';

/** Experts of a group that an event declares hot now or soon, and whether one runs now. */
function activeDeclaredShifts(
  body: ConfigurationBody,
  group: string,
  wallMs: number,
): { shifts: DeclaredShift[]; inEvent: boolean } {
  const activeEvents = (body.events ?? []).filter(
    (e) => wallMs >= e.startMs - PRELOAD_MS && wallMs < e.startMs + e.durationMs,
  );
  return {
    shifts: activeEvents.flatMap((e) => (e.hotExperts ?? []).filter((h) => h.group === group)),
    inEvent: activeEvents.some((e) => wallMs >= e.startMs),
  };
}

/** Makes one group's decisions; lives as long as its coordinator does. */
export class PlacementRound {
  private readonly estimate: PopularityEstimate;
  private lastRoundAtMs: number;
  private availableBytes = 0;
  private sequence = 0;

  constructor(
    private readonly ctx: DaemonContext,
    private readonly group: GroupConfig,
  ) {
    this.estimate = new PopularityEstimate(group.layers, group.experts, HALF_LIFE_MS);
    this.lastRoundAtMs = ctx.clock.nowMs();
  }

  /** The choice of this round, for `runSwitch`. */
  readonly chooseMap: ChooseMap = (view) => {
    const body = this.ctx.store.config?.body;
    if (!body || !view.map) return undefined;
    const elapsedMs = this.ctx.clock.nowMs() - this.lastRoundAtMs;
    this.lastRoundAtMs = this.ctx.clock.nowMs();
    this.estimate.add(this.countsOf(view, view.map), elapsedMs);
    const { shifts, inEvent } = activeDeclaredShifts(body, this.group.id, this.ctx.clock.wallMs());
    const policy = this.policyOf(body, inEvent, elapsedMs);
    const plan = planPlacement(view.map.layers, withShift(this.estimate.read(), shifts, 1), policy);
    this.ctx.metrics.observe('group_skew_permille', plan.skewBefore * 1000, {
      group: this.group.id,
    });
    if (plan.fetches.length === 0) return undefined;
    this.availableBytes -= plan.bytes;
    this.ctx.metrics.count('experts_moved_total', { group: this.group.id }, plan.fetches.length);
    this.ctx.log.info('placement.planned', {
      group: this.group.id,
      fetches: plan.fetches.length,
      skewBefore: plan.skewBefore,
      skewAfter: plan.skewAfter,
    });
    this.sequence += 1;
    const id = `${this.ctx.self}/${this.ctx.incarnation}/m${this.sequence}`;
    return { id, layers: plan.placement.map((layer) => layer.map((rank) => [...rank])) };
  };

  /** Tokens by layer and expert, put together from each rank's slots. */
  private countsOf(view: GroupView, map: ExpertMap): number[][] {
    const counts = Array.from({ length: this.group.layers }, () =>
      new Array<number>(this.group.experts).fill(0),
    );
    view.replies.forEach((reply, rank) =>
      reply.counts?.forEach((slots, l) =>
        slots.forEach((tokens, slot) => {
          const expert = map.layers[l]?.[rank]?.[slot];
          const layer = counts[l];
          if (layer && expert !== undefined) layer[expert] = (layer[expert] ?? 0) + tokens;
        }),
      ),
    );
    return counts;
  }

  private policyOf(body: ConfigurationBody, inEvent: boolean, elapsedMs: number): PlacementPolicy {
    const { policy } = body;
    // The store's rate is split among the groups by the document alone, with no message.
    const bytesPerSecond = policy.weightStoreBytesPerSecond / Math.max(1, body.groups.length);
    const maxBytes = (bytesPerSecond * MAX_SAVED_MS) / 1000;
    this.availableBytes = Math.min(
      maxBytes,
      this.availableBytes + (bytesPerSecond * elapsedMs) / 1000,
    );
    return {
      skewWeight: policy.skewWeight,
      costWeight: policy.costWeight * (inEvent ? (policy.eventCostFactor ?? 1) : 1),
      expertBytes: this.group.expertBytes,
      slotsPerRank: this.group.slotsPerRank,
      bytesPerSecond,
      budgetBytes: this.availableBytes,
      balancedStepMs: BALANCED_STEP_MS,
      horizonSteps: HORIZON_MS / BALANCED_STEP_MS,
    };
  }
}
