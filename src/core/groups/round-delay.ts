/** Limits the rate of coordinator rounds by their size on the wire. */
import {
  ESTIMATED_COUNT_BYTES,
  ESTIMATED_ORDER_BYTES,
  MAX_ROUND_BYTES_PER_SECOND,
} from './consts.js';

/** Dimensions of a group that determine the size of its messages. */
export interface GroupSize {
  readonly ranks: number;
  readonly layers: number;
  readonly slotsPerRank: number;
}

/**
 * Delay between two rounds, ms: the configured minimum, or longer for a group so large that its
 * rounds would exceed the bandwidth limit of the coordinator.
 * @example roundDelayMs({ ranks: 4, layers: 8, slotsPerRank: 3 }, 2000) // 2000
 */
export function roundDelayMs(size: GroupSize, minDelayMs: number): number {
  const bytes =
    size.ranks * (ESTIMATED_ORDER_BYTES + size.layers * size.slotsPerRank * ESTIMATED_COUNT_BYTES);
  return Math.max(minDelayMs, (bytes * 1000) / MAX_ROUND_BYTES_PER_SECOND);
}
