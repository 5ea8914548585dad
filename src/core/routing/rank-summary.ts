/** Summarises the loads of the ranks of a group for logs and metrics. */
import { SLOW_PACE } from './consts.js';

/** Load and speed of one rank in the latest count. */
export interface CountedRank {
  /** Streams in flight or queued there. */
  readonly load: number;
  readonly pace: number;
}

/** Loads of the ranks of a group; the fields of the log line `ranks.seen`. */
export interface RankSummary {
  readonly ranks: number;
  readonly mean: number;
  readonly max: number;
  readonly slow: number;
  /** Number of ranks by load, in the order of loads: `2x0 5x1 3x4`. */
  readonly byLoad: string;
}

/**
 * Summarises the counted loads of a group.
 * @example summarizeRanks([{ load: 1, pace: 1 }, { load: 4, pace: 2 }]).byLoad // '1x1 1x4'
 */
export function summarizeRanks(counted: readonly CountedRank[]): RankSummary {
  const ranksByLoad = new Map<number, number>();
  for (const { load } of counted) ranksByLoad.set(load, (ranksByLoad.get(load) ?? 0) + 1);
  const sorted = [...ranksByLoad].sort(([a], [b]) => a - b);
  const sum = counted.reduce((total, { load }) => total + load, 0);
  return {
    ranks: counted.length,
    mean: Number((sum / Math.max(1, counted.length)).toFixed(2)),
    max: sorted.at(-1)?.[0] ?? 0,
    slow: counted.filter(({ pace }) => pace > SLOW_PACE).length,
    byLoad: sorted.map(([load, ranks]) => `${ranks}x${load}`).join(' '),
  };
}
