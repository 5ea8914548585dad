/**
 * Tracks the rank loads of one layer and evaluates hypothetical changes to them. An evaluation
 * visits only the affected ranks and the most loaded of the others, because a plan evaluates tens
 * of thousands of changes: visiting every rank for 129 ranks and 16 layers took 300 to 870 ms of a
 * full core, during which the agent did not respond (see round-plan.test).
 */
import type { LayerMap } from './types.js';

/** Rank loads of one layer, in tokens multiplied by the slowdown of the rank. */
export class LayerLoads {
  /** Ranks that hold each expert, indexed by expert. */
  private readonly holders: number[][];
  private readonly loads: Float64Array;
  /** Ranks in descending order of load. */
  private readonly order: number[];
  /** Loads under the current evaluation; valid only for touched ranks. */
  private readonly evaluatedLoads: Float64Array;
  /** Number of the evaluation that last touched each rank. */
  private readonly lastTouchedIn: Uint32Array;
  /** Ranks touched by the current evaluation, in the first `touchedCount` entries; preallocated. */
  private readonly touchedRanks: Uint32Array;
  private touchedCount = 0;
  private evaluation = 0;

  constructor(
    private readonly map: LayerMap,
    private readonly popularity: readonly number[],
    /** Slowdown factor of each rank; 1 is normal speed. */
    private readonly slowdowns: readonly number[],
  ) {
    this.holders = popularity.map(() => []);
    map.forEach((held, rank) => held.forEach((expert) => this.holders[expert]?.push(rank)));
    this.loads = new Float64Array(map.length);
    this.order = Array.from({ length: map.length }, (_, rank) => rank);
    this.evaluatedLoads = new Float64Array(map.length);
    this.lastTouchedIn = new Uint32Array(map.length);
    this.touchedRanks = new Uint32Array(map.length);
    this.refresh();
  }

  /** Index of the most loaded rank. */
  get hottest(): number {
    return this.order[0] ?? 0;
  }

  /** Largest rank load. */
  get max(): number {
    return this.loadOf(this.hottest);
  }

  /** Mean rank load. */
  get mean(): number {
    return this.loads.reduce((sum, load) => sum + load, 0) / Math.max(1, this.loads.length);
  }

  /** Returns the load of a rank, or 0 for a rank outside the map. */
  loadOf(rank: number): number {
    return this.loads[rank] ?? 0;
  }

  /** Returns the number of ranks that hold an expert. */
  replicaCount(expert: number): number {
    return this.holders[expert]?.length ?? 0;
  }

  /** Returns the tokens that each replica of an expert carries, before the slowdown of its rank. */
  loadPerReplica(expert: number): number {
    return (this.popularity[expert] ?? 0) / Math.max(1, this.replicaCount(expert));
  }

  /**
   * Returns up to `maxCount` eligible ranks, least loaded first.
   * @example loads.leastLoaded(12, (rank) => rank !== loads.hottest)
   */
  leastLoaded(maxCount: number, isEligible: (rank: number) => boolean): number[] {
    const found: number[] = [];
    for (let i = this.order.length - 1; i >= 0 && found.length < maxCount; i -= 1) {
      const rank = this.order[i] as number;
      if (isEligible(rank)) found.push(rank);
    }
    return found;
  }

  /** Records a new replica of an expert on a rank; call `refresh` to update the loads. */
  recordAdded(rank: number, expert: number): void {
    this.holders[expert]?.push(rank);
  }

  /** Records the removal of an expert from a rank; call `refresh` to update the loads. */
  recordRemoved(rank: number, expert: number): void {
    const holders = this.holders[expert] ?? [];
    holders.splice(holders.indexOf(rank), 1);
  }

  /** Recomputes all loads from the map. */
  refresh(): void {
    this.map.forEach((held, rank) => {
      let sum = 0;
      for (const expert of held) sum += this.loadPerReplica(expert);
      this.loads[rank] = sum * this.slowdownOf(rank);
    });
    this.sortRanks();
  }

  /** Starts the evaluation of a new hypothetical change. */
  beginEvaluation(): void {
    this.evaluation += 1;
    this.touchedCount = 0;
  }

  /** Evaluates an additional replica on a rank, which lowers the load of the other replicas. */
  evaluateAdded(rank: number, expert: number): void {
    const tokens = this.popularity[expert] ?? 0;
    const before = this.replicaCount(expert);
    this.addToHolders(expert, tokens / (before + 1) - tokens / before);
    this.addToRank(rank, tokens / (before + 1));
  }

  /**
   * Evaluates the removal of a replica from a rank, which raises the load of the other replicas.
   */
  evaluateRemoved(rank: number, expert: number): void {
    const tokens = this.popularity[expert] ?? 0;
    const before = this.replicaCount(expert);
    this.addToHolders(expert, tokens / (before - 1) - tokens / before);
    this.addToRank(rank, -tokens / (before - 1));
  }

  /** Evaluates moving a replica between ranks, which leaves the replica count unchanged. */
  evaluateMoved(from: number, to: number, expert: number): void {
    this.addToRank(from, -this.loadPerReplica(expert));
    this.addToRank(to, this.loadPerReplica(expert));
  }

  /** Returns the largest rank load under the evaluated change. */
  evaluatedMax(): number {
    let max = 0;
    for (let i = 0; i < this.touchedCount; i += 1)
      max = Math.max(max, this.evaluatedLoads[this.touchedRanks[i] ?? 0] ?? 0);
    return Math.max(max, this.maxUntouched());
  }

  private maxUntouched(): number {
    for (const rank of this.order)
      if (this.lastTouchedIn[rank] !== this.evaluation) return this.loadOf(rank);
    return 0;
  }

  private addToHolders(expert: number, tokens: number): void {
    for (const holder of this.holders[expert] ?? []) this.addToRank(holder, tokens);
  }

  private addToRank(rank: number, tokens: number): void {
    if (this.lastTouchedIn[rank] !== this.evaluation) {
      this.lastTouchedIn[rank] = this.evaluation;
      this.evaluatedLoads[rank] = this.loadOf(rank);
      this.touchedRanks[this.touchedCount] = rank;
      this.touchedCount += 1;
    }
    this.evaluatedLoads[rank] = (this.evaluatedLoads[rank] ?? 0) + tokens * this.slowdownOf(rank);
  }

  private slowdownOf(rank: number): number {
    return this.slowdowns[rank] ?? 1;
  }

  /** Insertion sort, because a single move leaves the order almost unchanged. */
  private sortRanks(): void {
    const { order, loads } = this;
    for (let i = 1; i < order.length; i += 1) {
      const rank = order[i] as number;
      const load = loads[rank] ?? 0;
      let at = i - 1;
      while (at >= 0 && (loads[order[at] as number] ?? 0) < load) {
        order[at + 1] = order[at] as number;
        at -= 1;
      }
      order[at + 1] = rank;
    }
  }
}
