/** Finds the best next move of one layer: what lowers its largest rank load most for each byte. */
import { LayerLoads } from './layer-loads.js';
import type { Drop, Fetch, LayerMap, Move } from './types.js';

/**
 * Ranks that a move is weighed for, the least loaded ones. A plan for 63 ranks, 8 layers and 252 experts
 * has to fit into an agent's share of a core (docs/EXPERIMENTS.md).
 */
const MOST_TARGETS = 12;

/** Fetches of a swap. */
const SWAP_FETCHES = 2;

/** A move that was weighed: plain numbers, since most of them are left for a better one. */
interface Weighed {
  readonly expert: number;
  /** Where it goes. */
  readonly rank: number;
  /** What it takes the place of; undefined in a free slot. */
  readonly evicts: number | undefined;
  /** Whether what is evicted goes to the most loaded rank. */
  readonly isSwap: boolean;
  /** Fall of the layer's largest rank load, tokens. */
  readonly gain: number;
}

/** Gain for each fetch. */
function rateOf(weighed: Weighed | undefined): number {
  if (!weighed) return 0;
  return weighed.isSwap ? weighed.gain / SWAP_FETCHES : weighed.gain;
}

/** A layer that moves can be applied to. */
export class LayerPlanner {
  private readonly held: number[][];
  private readonly loads: LayerLoads;
  /** New experts that each rank may still be given in this layer. */
  private readonly ownRoom: number[];
  /** All that was applied, in order. */
  private readonly applied: (Move | Drop)[] = [];

  /**
   * @param room new experts that each rank may still be given; shared by the layers of one plan
   * @param mostNew new experts that a rank may be given in this layer
   * @param pace how slow each rank is, 1 for an ordinary one
   */
  constructor(
    private readonly layer: number,
    private readonly first: LayerMap,
    popularity: readonly number[],
    private readonly slots: number,
    private readonly room: number[] = first.map(() => Number.POSITIVE_INFINITY),
    pace: readonly number[] = first.map(() => 1),
    mostNew = Number.POSITIVE_INFINITY,
  ) {
    this.ownRoom = first.map(() => mostNew);
    this.held = first.map((experts) => [...experts]);
    this.loads = new LayerLoads(this.held, popularity, pace);
  }

  /** The layer's map with all moves applied. */
  get map(): LayerMap {
    return this.held;
  }

  /** Largest rank load. */
  get maxLoad(): number {
    return this.loads.max;
  }

  /** Fall of the largest load if it came down to the mean, an upper bound of any gain. */
  get excess(): number {
    return this.loads.max - this.loads.mean;
  }

  /** Moves and drops applied so far. */
  get steps(): number {
    return this.applied.length;
  }

  /**
   * The layer's map as it was after the first so many moves and drops.
   * @example planner.mapAfter(0) // the map that it began with
   */
  mapAfter(steps: number): LayerMap {
    const map = this.first.map((experts) => [...experts]);
    for (const step of this.applied.slice(0, steps)) applyTo(map, step);
    return map;
  }

  /**
   * The best next move, by gain for each fetch; undefined when none lowers the largest load.
   * @example const move = planner.bestMove(); if (move) planner.apply(move);
   */
  bestMove(): Move | undefined {
    const hot = this.loads.hottest;
    const isOpen = (rank: number): boolean => rank !== hot && !this.isFull(rank);
    const targets = this.loads.leastLoaded(MOST_TARGETS, isOpen);
    const hotIsFull = this.isFull(hot);
    let best: Weighed | undefined;
    for (const expert of this.held[hot] ?? []) {
      for (const rank of targets) {
        const held = this.held[rank] ?? [];
        if (held.includes(expert)) continue;
        best = this.weighReplica(expert, rank, best);
        if (hotIsFull) continue;
        for (const other of held) best = this.weighSwap(hot, expert, rank, other, best);
      }
    }
    return best && { fetches: this.fetchesOf(best, hot), gain: best.gain };
  }

  /**
   * The replica on the most loaded rank whose loss lowers the largest load most; undefined when none
   * does.
   * @example const drop = planner.bestDrop(); if (drop) planner.applyDrop(drop);
   */
  bestDrop(): Drop | undefined {
    const rank = this.loads.hottest;
    let best: Drop | undefined;
    for (const expert of this.held[rank] ?? []) {
      if (this.loads.replicas(expert) < 2) continue;
      this.loads.begin();
      this.loads.weighRemoved(rank, expert);
      const gain = this.maxLoad - this.loads.maxWeighed();
      if (gain > (best?.gain ?? 0)) best = { rank, expert, gain };
    }
    return best;
  }

  /** Applies a drop found by `bestDrop`. */
  applyDrop(drop: Drop): void {
    this.loads.noteRemoved(drop.rank, drop.expert);
    this.note(drop);
  }

  /** Whether a move can still be made; other layers may have used up the room of its ranks. */
  hasRoomFor(move: Move): boolean {
    return move.fetches.every((fetch) => !this.isFull(fetch.rank));
  }

  private isFull(rank: number): boolean {
    return (this.room[rank] ?? 0) <= 0 || (this.ownRoom[rank] ?? 0) <= 0;
  }

  /** Applies a move found by `bestMove`. */
  apply(move: Move): void {
    for (const { rank, expert, evicts } of move.fetches) {
      if (evicts !== undefined) this.loads.noteRemoved(rank, evicts);
      this.loads.noteAdded(rank, expert);
      this.room[rank] = (this.room[rank] ?? 0) - 1;
      this.ownRoom[rank] = (this.ownRoom[rank] ?? 0) - 1;
    }
    this.note(move);
  }

  private note(step: Move | Drop): void {
    applyTo(this.held, step);
    this.applied.push(step);
    this.loads.refresh();
  }

  /** Weighs another replica of an expert on a rank, in a free slot or in place of a spare replica; the better move. */
  private weighReplica(
    expert: number,
    rank: number,
    best: Weighed | undefined,
  ): Weighed | undefined {
    const held = this.held[rank] ?? [];
    const evicts = held.length < this.slots ? undefined : this.coldestSpare(held, expert);
    if (held.length >= this.slots && evicts === undefined) return best;
    this.loads.begin();
    this.loads.weighAdded(rank, expert);
    if (evicts !== undefined) this.loads.weighRemoved(rank, evicts);
    const gain = this.gainWeighed();
    if (gain <= 0 || gain <= rateOf(best)) return best;
    return { expert, rank, evicts, isSwap: false, gain };
  }

  /** The expert that carries least of those that other ranks hold too; undefined when there is none. */
  private coldestSpare(held: readonly number[], besides: number): number | undefined {
    let coldest: number | undefined;
    for (const expert of held) {
      if (expert === besides || this.loads.replicas(expert) < 2) continue;
      if (coldest === undefined || this.loads.share(expert) < this.loads.share(coldest))
        coldest = expert;
    }
    return coldest;
  }

  /** Weighs two experts of two ranks that change places; the better move. */
  private weighSwap(
    hot: number,
    expert: number,
    rank: number,
    other: number,
    best: Weighed | undefined,
  ): Weighed | undefined {
    if (this.loads.share(other) >= this.loads.share(expert)) return best;
    if (this.held[hot]?.includes(other)) return best;
    this.loads.begin();
    this.loads.weighMoved(hot, rank, expert);
    this.loads.weighMoved(rank, hot, other);
    const gain = this.gainWeighed();
    if (gain <= 0 || gain / SWAP_FETCHES <= rateOf(best)) return best;
    return { expert, rank, evicts: other, isSwap: true, gain };
  }

  private gainWeighed(): number {
    return this.maxLoad - this.loads.maxWeighed();
  }

  private fetchesOf({ expert, rank, evicts, isSwap }: Weighed, hot: number): Fetch[] {
    const { layer } = this;
    const arrives: Fetch = { layer, rank, expert, evicts };
    if (!isSwap || evicts === undefined) return [arrives];
    return [arrives, { layer, rank: hot, expert: evicts, evicts: expert }];
  }
}

/** Changes a map as a move or drop says. */
function applyTo(map: readonly number[][], step: Move | Drop): void {
  if (!('fetches' in step)) return remove(map[step.rank] as number[], step.expert);
  for (const { rank, expert, evicts } of step.fetches) {
    const held = map[rank] as number[];
    if (evicts !== undefined) remove(held, evicts);
    held.push(expert);
  }
}

function remove(list: number[], item: number): void {
  list.splice(list.indexOf(item), 1);
}
