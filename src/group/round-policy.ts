/** Limits of what a round may copy, from the sizes that the engines publish. */
import type { EngineInfo } from '../core/published/index.js';
import { ROUND_COPY_BUDGET_MS, MIN_GAIN_PER_GB, MIN_STREAMS } from './consts.js';

/**
 * Maximum number of new experts per rank in one round, over all layers: as many as can be copied in
 * the time a round takes anyway, at least one. Ranks copy in parallel, each its own experts one
 * after the other.
 * @example maxNewPerRound({ ...engine, copyMs: 14 }) // 11
 */
export function maxNewPerRound(engine: EngineInfo): number {
  if (engine.copyMs <= 0) return engine.maxNewPerRankAndLayer * Math.max(1, engine.layers);
  return Math.max(1, Math.floor(ROUND_COPY_BUDGET_MS / engine.copyMs));
}

/**
 * Minimum reduction of the peak loads, relative to their mean, that one copied expert must bring:
 * the cost of a copy is weighed against the streams that benefit.
 * @example minGainPerCopy({ ...engine, expertGb: 2.2 }, 48) // 0.006
 */
export function minGainPerCopy(engine: EngineInfo, streams: number): number {
  return (MIN_GAIN_PER_GB * engine.expertGb) / Math.max(MIN_STREAMS, streams);
}
