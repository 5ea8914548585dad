/** Types shared by the expert placement planners. */

/** Experts held by each rank in one layer. */
export type LayerMap = readonly (readonly number[])[];
/** Experts held, indexed by layer and rank. */
export type Placement = readonly LayerMap[];
/** Token counts, indexed by layer and expert. */
export type Popularity = readonly (readonly number[])[];

/**
 * One change of a layer's map: `rank` fetches `expert` into a slot and evicts its previous expert.
 */
export interface Fetch {
  readonly layer: number;
  readonly rank: number;
  readonly expert: number;
  /** Expert evicted from the slot; undefined when the slot was free. */
  readonly evicts: number | undefined;
}

/** Fetches that must be applied together: one new replica, or both halves of a swap. */
export interface Move {
  readonly fetches: readonly Fetch[];
  /** Reduction of the layer's largest rank load, tokens. */
  readonly gain: number;
}

/** Removal of a replica, which shifts its load to the remaining replicas; nothing is fetched. */
export interface Drop {
  readonly rank: number;
  readonly expert: number;
  /** Reduction of the layer's largest rank load, tokens. */
  readonly gain: number;
}

/** Cost model and limits of a placement plan. */
export interface PlacementPolicy {
  readonly skewWeight: number;
  readonly costWeight: number;
  readonly expertBytes: number;
  readonly slotsPerRank: number;
  /** Bandwidth that this group may use from the weight store, bytes per second. */
  readonly bytesPerSecond: number;
  /** Maximum number of bytes that this plan may fetch. */
  readonly budgetBytes: number;
  /** Duration of a step when every rank carries the mean load, ms. */
  readonly balancedStepMs: number;
  /** Number of steps over which a gain is expected to last. */
  readonly horizonSteps: number;
}

/** A new placement and the fetches needed to reach it. */
export interface PlacementPlan {
  readonly placement: Placement;
  readonly fetches: readonly Fetch[];
  readonly bytes: number;
  /** Step-time skew before the plan and as expected after it. */
  readonly skewBefore: number;
  readonly skewAfter: number;
}
