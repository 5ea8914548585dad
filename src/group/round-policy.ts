/** What a round may copy, from the sizes that the engines publish. */
import type { EngineInfo } from '../core/published/index.js';
import { COPY_MS, GAIN_PER_GB, LEAST_STREAMS } from './consts.js';

/**
 * New experts for a rank in one round, over all layers: as many as are copied in the time that a round
 * takes anyway, one at least. Ranks copy side by side, each its own experts one after the other.
 * @example newPerRound({ ...engine, copyMs: 14 }) // 7
 */
export function newPerRound(engine: EngineInfo): number {
  if (engine.copyMs <= 0) return engine.mostNew * Math.max(1, engine.layers);
  return Math.max(1, Math.floor(COPY_MS / engine.copyMs));
}

/**
 * Fall of the largest loads, as a share of their mean, that one copied expert must bring: what a copy
 * costs counts against the streams that gain by it.
 * @example gainPerCopy({ ...engine, expertGb: 2.2 }, 48) // 0.006
 */
export function gainPerCopy(engine: EngineInfo, streams: number): number {
  return (GAIN_PER_GB * engine.expertGb) / Math.max(LEAST_STREAMS, streams);
}
