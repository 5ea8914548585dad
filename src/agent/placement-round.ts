/**
 * Placement rounds of a coordinator: chooses a new expert map from token counts when the gain
 * outweighs its cost.
 */
import { PRELOAD_LEAD_MS } from '../core/events/index.js';
import type { ChooseMap, ExpertMap, GroupSnapshot } from '../core/groups/index.js';
import {
  BALANCED_STEP_MS,
  POPULARITY_HALF_LIFE_MS,
  GAIN_HORIZON_MS,
  MAX_BUDGET_ACCRUAL_MS,
  planPlacement,
  PopularityEstimate,
  applyDeclaredShifts,
  type DeclaredShift,
  type PlacementPolicy,
} from '../core/placement/index.js';
import type { DaemonContext } from '../runtime/index.js';
import type { ConfigurationBody, GroupConfig } from '../generated/configuration.types.js';

/** Experts of a group that events declare hot now or soon, and whether an event is active now. */
function declaredShiftsAt(
  body: ConfigurationBody,
  group: string,
  wallMs: number,
): { shifts: DeclaredShift[]; inEvent: boolean } {
  const relevantEvents = (body.events ?? []).filter(
    (e) => wallMs >= e.startMs - PRELOAD_LEAD_MS && wallMs < e.startMs + e.durationMs,
  );
  return {
    shifts: relevantEvents.flatMap((e) => (e.hotExperts ?? []).filter((h) => h.group === group)),
    inEvent: relevantEvents.some((e) => wallMs >= e.startMs),
  };
}

/** Placement state of one group; lives as long as its coordinator. */
export class PlacementRound {
  private readonly estimate: PopularityEstimate;
  private lastRoundAtMs: number;
  private availableBytes = 0;
  private sequence = 0;

  constructor(
    private readonly ctx: DaemonContext,
    private readonly group: GroupConfig,
  ) {
    this.estimate = new PopularityEstimate(group.layers, group.experts, POPULARITY_HALF_LIFE_MS);
    this.lastRoundAtMs = ctx.clock.nowMs();
  }

  /** Chooses the map of this round, for `runSwitch`. */
  readonly chooseMap: ChooseMap = (view) => {
    const body = this.ctx.store.config?.body;
    if (!body || !view.map) return undefined;
    const elapsedMs = this.ctx.clock.nowMs() - this.lastRoundAtMs;
    this.lastRoundAtMs = this.ctx.clock.nowMs();
    this.estimate.add(this.countsOf(view, view.map), elapsedMs);
    const { shifts, inEvent } = declaredShiftsAt(body, this.group.id, this.ctx.clock.wallMs());
    const policy = this.policyOf(body, inEvent, elapsedMs);
    const plan = planPlacement(
      view.map.layers,
      applyDeclaredShifts(this.estimate.read(), shifts, 1),
      policy,
    );
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

  /** Tokens by layer and expert, combined from the slots of each rank. */
  private countsOf(view: GroupSnapshot, map: ExpertMap): number[][] {
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
    // Each group computes its share of the store's rate from the document, without messages.
    const bytesPerSecond = policy.weightStoreBytesPerSecond / Math.max(1, body.groups.length);
    const maxBytes = (bytesPerSecond * MAX_BUDGET_ACCRUAL_MS) / 1000;
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
      horizonSteps: GAIN_HORIZON_MS / BALANCED_STEP_MS,
    };
  }
}
