/** Finds the move in one layer that lowers its largest rank load most for each fetched expert. */
import { LayerLoads } from './layer-loads.js';
import type { Drop, Fetch, LayerMap, Move } from './types.js';

/**
 * Number of least loaded ranks considered as targets. Bounds the CPU time of a plan, which for 63
 * ranks, 8 layers and 252 experts must fit into the agent's share of a core (docs/EXPERIMENTS.md).
 */
const MAX_TARGET_RANKS = 12;

/** Number of fetches in a swap. */
const SWAP_FETCHES = 2;

/** An evaluated move. Its fetches are built only for the best one, since most are discarded. */
interface Candidate {
  readonly expert: number;
  /** Target rank. */
  readonly rank: number;
  /** Expert evicted from the target rank; undefined when a free slot is used. */
  readonly evicts: number | undefined;
  /** Whether the evicted expert moves to the most loaded rank. */
  readonly isSwap: boolean;
  /** Reduction of the layer's largest rank load, tokens. */
  readonly gain: number;
}

/** Gain divided by the number of fetches; 0 when there is no candidate. */
function gainPerFetch(candidate: Candidate | undefined): number {
  if (!candidate) return 0;
  return candidate.isSwap ? candidate.gain / SWAP_FETCHES : candidate.gain;
}

/** Working copy of one layer to which moves and drops are applied. */
export class LayerPlanner {
  private readonly current: number[][];
  private readonly loads: LayerLoads;
  /** Remaining number of experts that each rank may fetch in this layer. */
  private readonly layerBudgets: number[];
  /** Moves and drops in the order of application. */
  private readonly applied: (Move | Drop)[] = [];

  /**
   * @param rankBudgets experts that each rank may still fetch, shared by all layers of a plan and
   *   decremented here
   * @param slowdowns slowdown factor of each rank; 1 is normal speed
   * @param maxNewPerRank experts that a rank may fetch in this layer
   */
  constructor(
    private readonly layer: number,
    private readonly initial: LayerMap,
    popularity: readonly number[],
    private readonly slots: number,
    private readonly rankBudgets: number[] = initial.map(() => Number.POSITIVE_INFINITY),
    slowdowns: readonly number[] = initial.map(() => 1),
    maxNewPerRank = Number.POSITIVE_INFINITY,
  ) {
    this.layerBudgets = initial.map(() => maxNewPerRank);
    this.current = initial.map((experts) => [...experts]);
    this.loads = new LayerLoads(this.current, popularity, slowdowns);
  }

  /** The layer's map with all moves and drops applied. */
  get map(): LayerMap {
    return this.current;
  }

  /** Largest rank load. */
  get maxLoad(): number {
    return this.loads.max;
  }

  /** Largest load minus mean load: an upper bound of any gain. */
  get excess(): number {
    return this.loads.max - this.loads.mean;
  }

  /** Number of moves and drops applied so far. */
  get changeCount(): number {
    return this.applied.length;
  }

  /**
   * Rebuilds the layer's map as it was after the first `changeCount` moves and drops.
   * @example planner.mapAfter(0) // the initial map
   */
  mapAfter(changeCount: number): LayerMap {
    const map = this.initial.map((experts) => [...experts]);
    for (const change of this.applied.slice(0, changeCount)) applyTo(map, change);
    return map;
  }

  /**
   * Finds the move with the highest gain per fetch; undefined when none lowers the largest load.
   * @example const move = planner.bestMove(); if (move) planner.apply(move);
   */
  bestMove(): Move | undefined {
    const hottest = this.loads.hottest;
    const isEligible = (rank: number): boolean => rank !== hottest && !this.isBudgetSpent(rank);
    const targets = this.loads.leastLoaded(MAX_TARGET_RANKS, isEligible);
    const isHottestFull = this.isBudgetSpent(hottest);
    let best: Candidate | undefined;
    for (const expert of this.current[hottest] ?? []) {
      for (const rank of targets) {
        const held = this.current[rank] ?? [];
        if (held.includes(expert)) continue;
        best = this.evaluateReplica(expert, rank, best);
        if (isHottestFull) continue;
        for (const swapped of held) best = this.evaluateSwap(hottest, expert, rank, swapped, best);
      }
    }
    return best && { fetches: this.fetchesOf(best, hottest), gain: best.gain };
  }

  /**
   * Finds the replica on the most loaded rank whose removal lowers the largest load most; undefined
   * when no removal lowers it.
   * @example const drop = planner.bestDrop(); if (drop) planner.applyDrop(drop);
   */
  bestDrop(): Drop | undefined {
    const rank = this.loads.hottest;
    let best: Drop | undefined;
    for (const expert of this.current[rank] ?? []) {
      if (this.loads.replicaCount(expert) < 2) continue;
      this.loads.beginEvaluation();
      this.loads.evaluateRemoved(rank, expert);
      const gain = this.maxLoad - this.loads.evaluatedMax();
      if (gain > (best?.gain ?? 0)) best = { rank, expert, gain };
    }
    return best;
  }

  /** Applies a drop returned by `bestDrop`. */
  applyDrop(drop: Drop): void {
    this.loads.recordRemoved(drop.rank, drop.expert);
    this.record(drop);
  }

  /** Whether all ranks of a move may still fetch; other layers share the rank budgets. */
  isWithinBudget(move: Move): boolean {
    return move.fetches.every((fetch) => !this.isBudgetSpent(fetch.rank));
  }

  private isBudgetSpent(rank: number): boolean {
    return (this.rankBudgets[rank] ?? 0) <= 0 || (this.layerBudgets[rank] ?? 0) <= 0;
  }

  /** Applies a move returned by `bestMove`. */
  apply(move: Move): void {
    for (const { rank, expert, evicts } of move.fetches) {
      if (evicts !== undefined) this.loads.recordRemoved(rank, evicts);
      this.loads.recordAdded(rank, expert);
      this.rankBudgets[rank] = (this.rankBudgets[rank] ?? 0) - 1;
      this.layerBudgets[rank] = (this.layerBudgets[rank] ?? 0) - 1;
    }
    this.record(move);
  }

  private record(change: Move | Drop): void {
    applyTo(this.current, change);
    this.applied.push(change);
    this.loads.refresh();
  }

  /**
   * Evaluates an additional replica on a rank, in a free slot or in place of a redundant replica.
   * Returns the better of it and `best`.
   */
  private evaluateReplica(
    expert: number,
    rank: number,
    best: Candidate | undefined,
  ): Candidate | undefined {
    const held = this.current[rank] ?? [];
    const evicts = held.length < this.slots ? undefined : this.coldestRedundant(held, expert);
    if (held.length >= this.slots && evicts === undefined) return best;
    this.loads.beginEvaluation();
    this.loads.evaluateAdded(rank, expert);
    if (evicts !== undefined) this.loads.evaluateRemoved(rank, evicts);
    const gain = this.evaluatedGain();
    if (gain <= 0 || gain <= gainPerFetch(best)) return best;
    return { expert, rank, evicts, isSwap: false, gain };
  }

  /**
   * Expert with the least load among those that other ranks hold too; undefined when there is none.
   */
  private coldestRedundant(held: readonly number[], excluded: number): number | undefined {
    let coldest: number | undefined;
    for (const expert of held) {
      if (expert === excluded || this.loads.replicaCount(expert) < 2) continue;
      if (
        coldest === undefined ||
        this.loads.loadPerReplica(expert) < this.loads.loadPerReplica(coldest)
      )
        coldest = expert;
    }
    return coldest;
  }

  /**
   * Evaluates the exchange of two experts between two ranks. Returns the better of it and `best`.
   */
  private evaluateSwap(
    hottest: number,
    expert: number,
    rank: number,
    swapped: number,
    best: Candidate | undefined,
  ): Candidate | undefined {
    if (this.loads.loadPerReplica(swapped) >= this.loads.loadPerReplica(expert)) return best;
    if (this.current[hottest]?.includes(swapped)) return best;
    this.loads.beginEvaluation();
    this.loads.evaluateMoved(hottest, rank, expert);
    this.loads.evaluateMoved(rank, hottest, swapped);
    const gain = this.evaluatedGain();
    if (gain <= 0 || gain / SWAP_FETCHES <= gainPerFetch(best)) return best;
    return { expert, rank, evicts: swapped, isSwap: true, gain };
  }

  private evaluatedGain(): number {
    return this.maxLoad - this.loads.evaluatedMax();
  }

  private fetchesOf({ expert, rank, evicts, isSwap }: Candidate, hottest: number): Fetch[] {
    const { layer } = this;
    const incoming: Fetch = { layer, rank, expert, evicts };
    if (!isSwap || evicts === undefined) return [incoming];
    return [incoming, { layer, rank: hottest, expert: evicts, evicts: expert }];
  }
}

/** Applies a move or drop to a map in place. */
function applyTo(map: readonly number[][], change: Move | Drop): void {
  if (!('fetches' in change)) return remove(map[change.rank] as number[], change.expert);
  for (const { rank, expert, evicts } of change.fetches) {
    const held = map[rank] as number[];
    if (evicts !== undefined) remove(held, evicts);
    held.push(expert);
  }
}

function remove(list: number[], item: number): void {
  list.splice(list.indexOf(item), 1);
}
