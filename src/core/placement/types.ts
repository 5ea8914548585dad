/** Types of expert placement. */

/** Experts held by each rank of one layer. */
export type LayerMap = readonly (readonly number[])[];
/** Experts by layer and rank. */
export type Placement = readonly LayerMap[];
/** Tokens by layer and expert. */
export type Popularity = readonly (readonly number[])[];

/** One change of a layer's map: `rank` fetches `expert` into a slot, giving up what stood there. */
export interface Fetch {
  readonly layer: number;
  readonly rank: number;
  readonly expert: number;
  /** Expert that leaves the slot; undefined when the slot was free. */
  readonly evicts: number | undefined;
}

/** Fetches that only make sense together: one replica, or the two halves of a swap. */
export interface Move {
  readonly fetches: readonly Fetch[];
  /** Fall of the layer's largest rank load, tokens. */
  readonly gain: number;
}

/** A replica that is given up, so that its share goes to the other ones; nothing is fetched. */
export interface Drop {
  readonly rank: number;
  readonly expert: number;
  /** Fall of the layer's largest rank load, tokens. */
  readonly gain: number;
}

/** What a plan is weighed by. */
export interface PlacementPolicy {
  readonly skewWeight: number;
  readonly costWeight: number;
  readonly expertBytes: number;
  readonly slotsPerRank: number;
  /** Bytes a second that this group may take from the weight store. */
  readonly bytesPerSecond: number;
  /** Bytes that may be fetched by this plan at most. */
  readonly budgetBytes: number;
  /** Time of a step when all ranks carry the mean load, ms. */
  readonly balancedStepMs: number;
  /** Steps over which a gain is expected to last. */
  readonly horizonSteps: number;
}

/** A new placement and what it takes. */
export interface PlacementPlan {
  readonly placement: Placement;
  readonly fetches: readonly Fetch[];
  readonly bytes: number;
  /** Step-time skew before and expected after. */
  readonly skewBefore: number;
  readonly skewAfter: number;
}
