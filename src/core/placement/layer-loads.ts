/**
 * Loads of the ranks of one layer, and what they would be after some changes. Weighing a change touches the ranks that it
 * changes and looks at the most loaded of the others: a plan weighs tens of thousands of them, and one for 129 ranks and
 * 16 layers that looked at every rank each time took 300 to 870 ms of a whole core, in which its agent answered nobody
 * (round-plan.test).
 */
import type { LayerMap } from './types.js';

/** Loads of one layer. Loads are in tokens, those of a slow rank counted by its pace. */
export class LayerLoads {
  /** Ranks that hold each expert. */
  private readonly holders: number[][];
  private readonly loads: Float64Array;
  /** Ranks by load, largest first. */
  private readonly order: number[];
  /** Loads of the ranks that the change weighed now touches. */
  private readonly weighed: Float64Array;
  /** Change that last touched each rank. */
  private readonly touchedBy: Uint32Array;
  /** Those ranks, the first `touchedCount` of them: weighing allocates nothing. */
  private readonly touched: Uint32Array;
  private touchedCount = 0;
  private change = 0;

  constructor(
    private readonly map: LayerMap,
    private readonly popularity: readonly number[],
    /** How slow each rank is. */
    private readonly pace: readonly number[],
  ) {
    this.holders = popularity.map(() => []);
    map.forEach((held, rank) => held.forEach((expert) => this.holders[expert]?.push(rank)));
    this.loads = new Float64Array(map.length);
    this.order = Array.from({ length: map.length }, (_, rank) => rank);
    this.weighed = new Float64Array(map.length);
    this.touchedBy = new Uint32Array(map.length);
    this.touched = new Uint32Array(map.length);
    this.refresh();
  }

  /** The most loaded rank. */
  get hottest(): number {
    return this.order[0] ?? 0;
  }

  /** Largest load. */
  get max(): number {
    return this.of(this.hottest);
  }

  /** Mean load. */
  get mean(): number {
    return this.loads.reduce((sum, load) => sum + load, 0) / Math.max(1, this.loads.length);
  }

  /** Load of a rank. */
  of(rank: number): number {
    return this.loads[rank] ?? 0;
  }

  /** Replicas of an expert. */
  replicas(expert: number): number {
    return this.holders[expert]?.length ?? 0;
  }

  /** Load that one replica of an expert carries now. */
  share(expert: number): number {
    return (this.popularity[expert] ?? 0) / Math.max(1, this.replicas(expert));
  }

  /**
   * Some ranks that come into question, least loaded first.
   * @example loads.leastLoaded(12, (rank) => rank !== loads.hottest)
   */
  leastLoaded(most: number, isOpen: (rank: number) => boolean): number[] {
    const found: number[] = [];
    for (let i = this.order.length - 1; i >= 0 && found.length < most; i -= 1) {
      const rank = this.order[i] as number;
      if (isOpen(rank)) found.push(rank);
    }
    return found;
  }

  /** Notes that a rank holds an expert from now on; `refresh` brings the loads up to date. */
  noteAdded(rank: number, expert: number): void {
    this.holders[expert]?.push(rank);
  }

  /** Notes that a rank no longer holds an expert; `refresh` brings the loads up to date. */
  noteRemoved(rank: number, expert: number): void {
    const holders = this.holders[expert] ?? [];
    holders.splice(holders.indexOf(rank), 1);
  }

  /** Computes all loads anew from the map. */
  refresh(): void {
    this.map.forEach((held, rank) => {
      let sum = 0;
      for (const expert of held) sum += this.share(expert);
      this.loads[rank] = sum * this.paceOf(rank);
    });
    this.sort();
  }

  /** Begins to weigh a change. */
  begin(): void {
    this.change += 1;
    this.touchedCount = 0;
  }

  /** Weighs one more replica of an expert at a rank: the others carry less. */
  weighAdded(rank: number, expert: number): void {
    const tokens = this.popularity[expert] ?? 0;
    const before = this.replicas(expert);
    this.spread(expert, tokens / (before + 1) - tokens / before);
    this.touch(rank, tokens / (before + 1));
  }

  /** Weighs one replica of an expert less, that of a rank: the others carry more. */
  weighRemoved(rank: number, expert: number): void {
    const tokens = this.popularity[expert] ?? 0;
    const before = this.replicas(expert);
    this.spread(expert, tokens / (before - 1) - tokens / before);
    this.touch(rank, -tokens / (before - 1));
  }

  /** Weighs that a replica goes from one rank to another; there are as many as before. */
  weighMoved(from: number, to: number, expert: number): void {
    this.touch(from, -this.share(expert));
    this.touch(to, this.share(expert));
  }

  /** Largest load after the change that was weighed. */
  maxWeighed(): number {
    let max = 0;
    for (let i = 0; i < this.touchedCount; i += 1)
      max = Math.max(max, this.weighed[this.touched[i] ?? 0] ?? 0);
    return Math.max(max, this.mostUntouched());
  }

  private mostUntouched(): number {
    for (const rank of this.order) if (this.touchedBy[rank] !== this.change) return this.of(rank);
    return 0;
  }

  private spread(expert: number, tokens: number): void {
    for (const holder of this.holders[expert] ?? []) this.touch(holder, tokens);
  }

  private touch(rank: number, tokens: number): void {
    if (this.touchedBy[rank] !== this.change) {
      this.touchedBy[rank] = this.change;
      this.weighed[rank] = this.of(rank);
      this.touched[this.touchedCount] = rank;
      this.touchedCount += 1;
    }
    this.weighed[rank] = (this.weighed[rank] ?? 0) + tokens * this.paceOf(rank);
  }

  private paceOf(rank: number): number {
    return this.pace[rank] ?? 1;
  }

  /** Sorts by insertion: after one move almost all ranks stand where they stood. */
  private sort(): void {
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
