/** What a round may copy, from the sizes that the engines publish. */
import type { EngineInfo } from '../core/published/index.js';
import { ROUND_COPY_BUDGET_MS, MIN_GAIN_PER_GB, MIN_STREAMS } from './consts.js';

/**
 * New experts for a rank in one round, over all layers: as many as are copied in the time that a round
 * takes anyway, one at least. Ranks copy side by side, each its own experts one after the other.
 * @example newPerRound({ ...engine, copyMs: 14 }) // 7
 */
export function maxNewPerRound(engine: EngineInfo): number {
  if (engine.copyMs <= 0) return engine.mostNew * Math.max(1, engine.layers);
  return Math.max(1, Math.floor(ROUND_COPY_BUDGET_MS / engine.copyMs));
}

/**
 * Fall of the largest loads, as a share of their mean, that one copied expert must bring: what a copy
 * costs counts against the streams that gain by it.
 * @example gainPerCopy({ ...engine, expertGb: 2.2 }, 48) // 0.006
 */
export function minGainPerCopy(engine: EngineInfo, streams: number): number {
  return (MIN_GAIN_PER_GB * engine.expertGb) / Math.max(MIN_STREAMS, streams);
}
