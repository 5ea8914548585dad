/** Finds the best next move of one layer: what lowers its largest rank load most for each byte. */
import { rankLoads } from './skew.js';
import type { Drop, Fetch, LayerMap, Move } from './types.js';

/**
 * Ranks that a move is weighed for, the least loaded ones. A plan for 63 ranks, 8 layers and 252 experts
 * has to fit into an agent's share of a core (docs/EXPERIMENTS.md).
 */
const MOST_TARGETS = 12;

interface LayerState {
  readonly layer: number;
  readonly map: number[][];
  readonly popularity: readonly number[];
  /** Ranks that hold each expert. */
  readonly holders: number[][];
  loads: number[];
  readonly slots: number;
  /** How slow each rank is; its load counts so many times. */
  readonly pace: readonly number[];
  /** Room to compute loads in, so that weighing a move allocates nothing. */
  readonly scratch: Float64Array;
}

/** A layer that moves can be applied to. */
export class LayerPlanner {
  private readonly state: LayerState;
  /** New experts that each rank may still be given in this layer. */
  private readonly ownRoom: number[];
  private max: number;

  /**
   * @param room new experts that each rank may still be given; shared by the layers of one plan
   * @param mostNew new experts that a rank may be given in this layer
   * @param pace how slow each rank is, 1 for an ordinary one
   */
  constructor(
    layer: number,
    map: LayerMap,
    popularity: readonly number[],
    slots: number,
    private readonly room: number[] = map.map(() => Number.POSITIVE_INFINITY),
    pace: readonly number[] = map.map(() => 1),
    mostNew = Number.POSITIVE_INFINITY,
  ) {
    this.ownRoom = map.map(() => mostNew);
    const holders: number[][] = popularity.map(() => []);
    map.forEach((held, rank) => held.forEach((e) => holders[e]?.push(rank)));
    this.state = {
      layer,
      map: map.map((r) => [...r]),
      popularity,
      holders,
      loads: pacedLoads(map, popularity, pace),
      pace,
      slots,
      scratch: new Float64Array(map.length),
    };
    this.max = Math.max(...this.state.loads);
  }

  /** The layer's map with all moves applied. */
  get map(): LayerMap {
    return this.state.map;
  }

  /** Largest rank load. */
  get maxLoad(): number {
    return this.max;
  }

  /** Fall of the largest load if it came down to the mean, an upper bound of any gain. */
  get excess(): number {
    const { loads } = this.state;
    return this.maxLoad - loads.reduce((sum, l) => sum + l, 0) / loads.length;
  }

  /**
   * The best next move, by gain for each fetch; undefined when none lowers the largest load.
   * @example const move = planner.bestMove(); if (move) planner.apply(move);
   */
  bestMove(): Move | undefined {
    const { loads, map } = this.state;
    const hot = loads.indexOf(this.maxLoad);
    let best: Move | undefined;
    const offer = (move: Move | undefined): void => {
      if (move && (!best || move.gain / move.fetches.length > best.gain / best.fetches.length))
        best = move;
    };
    const hotIsFull = this.isFull(hot);
    const targets = this.leastLoaded(hot);
    for (const expert of map[hot] ?? []) {
      for (const rank of targets) {
        if (map[rank]?.includes(expert)) continue;
        offer(this.replicate(expert, rank));
        if (hotIsFull) continue;
        for (const other of map[rank] ?? []) offer(this.swap(hot, expert, rank, other));
      }
    }
    return best;
  }

  /** The least loaded ranks with room, most suited first; what a move saves goes to one of them. */
  private leastLoaded(hot: number): number[] {
    const { loads } = this.state;
    const open = loads.map((_, rank) => rank).filter((rank) => rank !== hot && !this.isFull(rank));
    if (open.length <= MOST_TARGETS) return open;
    return open.sort((a, b) => (loads[a] ?? 0) - (loads[b] ?? 0)).slice(0, MOST_TARGETS);
  }

  /**
   * The replica on the most loaded rank whose loss lowers the largest load most; undefined when none
   * does.
   * @example const drop = planner.bestDrop(); if (drop) planner.applyDrop(drop);
   */
  bestDrop(): Drop | undefined {
    const { loads, map, scratch } = this.state;
    const rank = loads.indexOf(this.maxLoad);
    let best: Drop | undefined;
    for (const expert of map[rank] ?? []) {
      if (this.replicas(expert) < 2) continue;
      scratch.set(loads);
      this.shift(expert, rank, -1, false);
      const gain = this.maxLoad - Math.max(...scratch);
      if (gain > (best?.gain ?? 0)) best = { rank, expert, gain };
    }
    return best;
  }

  /** Applies a drop found by `bestDrop`. */
  applyDrop({ rank, expert }: Drop): void {
    const { map, holders } = this.state;
    remove(map[rank] as number[], expert);
    remove(holders[expert] as number[], rank);
    this.refresh();
  }

  private refresh(): void {
    this.state.loads = pacedLoads(this.state.map, this.state.popularity, this.state.pace);
    this.max = Math.max(...this.state.loads);
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
    const { map, holders } = this.state;
    for (const fetch of move.fetches) {
      const held = map[fetch.rank] as number[];
      if (fetch.evicts !== undefined) {
        remove(held, fetch.evicts);
        remove(holders[fetch.evicts] as number[], fetch.rank);
      }
      held.push(fetch.expert);
      this.room[fetch.rank] = (this.room[fetch.rank] ?? 0) - 1;
      this.ownRoom[fetch.rank] = (this.ownRoom[fetch.rank] ?? 0) - 1;
      holders[fetch.expert]?.push(fetch.rank);
    }
    this.refresh();
  }

  /** Puts another replica of an expert on a rank, in a free slot or in place of a spare replica. */
  private replicate(expert: number, rank: number): Move | undefined {
    const { map, slots } = this.state;
    const held = map[rank] ?? [];
    if (held.length < slots) return this.weigh([this.fetch(rank, expert, undefined)]);
    const spare = held.filter((e) => this.replicas(e) > 1 && e !== expert);
    const coldest = spare.reduce<number | undefined>(
      (least, e) => (least === undefined || this.share(e) < this.share(least) ? e : least),
      undefined,
    );
    return coldest === undefined ? undefined : this.weigh([this.fetch(rank, expert, coldest)]);
  }

  private swap(hot: number, expert: number, rank: number, other: number): Move | undefined {
    const { map } = this.state;
    if (this.share(other) >= this.share(expert) || map[hot]?.includes(other)) return undefined;
    return this.weigh([this.fetch(rank, expert, other), this.fetch(hot, other, expert)]);
  }

  private fetch(rank: number, expert: number, evicts: number | undefined): Fetch {
    return { layer: this.state.layer, rank, expert, evicts };
  }

  private replicas(expert: number): number {
    return this.state.holders[expert]?.length ?? 0;
  }

  /** Load that one replica of an expert carries now. */
  private share(expert: number): number {
    return (this.state.popularity[expert] ?? 0) / Math.max(1, this.replicas(expert));
  }

  private weigh(fetches: readonly Fetch[]): Move | undefined {
    const gain = this.maxLoad - this.maxAfter(fetches);
    return gain > 0 ? { fetches, gain } : undefined;
  }

  /** Largest load after some fetches, computed from the experts they touch alone. */
  private maxAfter(fetches: readonly Fetch[]): number {
    const { loads, scratch } = this.state;
    scratch.set(loads);
    for (const fetch of fetches) {
      // In a swap the same expert leaves one rank and arrives at another: its replicas stay as many.
      const returns = fetches.some((f) => f.evicts === fetch.expert);
      this.shift(fetch.expert, fetch.rank, 1, returns);
      if (fetch.evicts === undefined) continue;
      const stays = fetches.some((f) => f.expert === fetch.evicts);
      this.shift(fetch.evicts, fetch.rank, -1, stays);
    }
    let max = 0;
    for (const load of scratch) if (load > max) max = load;
    return max;
  }

  /** Adds a replica of an expert to a rank of the scratch loads, or takes it away. */
  private shift(expert: number, rank: number, change: 1 | -1, sameCount: boolean): void {
    const { scratch, holders, popularity, pace } = this.state;
    const tokens = popularity[expert] ?? 0;
    const before = this.replicas(expert);
    const after = sameCount ? before : before + change;
    if (!sameCount) {
      const each = tokens / after - tokens / before;
      for (const holder of holders[expert] ?? []) {
        scratch[holder] = (scratch[holder] ?? 0) + each * (pace[holder] ?? 1);
      }
    }
    // A rank that gives up its replica loses the share that it would have had by now.
    scratch[rank] = (scratch[rank] ?? 0) + change * (tokens / after) * (pace[rank] ?? 1);
  }
}

/** Loads of ranks in the time they take: those of a slow rank count more. */
function pacedLoads(
  map: LayerMap,
  popularity: readonly number[],
  pace: readonly number[],
): number[] {
  return rankLoads(map, popularity).map((load, rank) => load * (pace[rank] ?? 1));
}

function remove(list: number[], item: number): void {
  list.splice(list.indexOf(item), 1);
}
