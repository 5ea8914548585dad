/** What the connections of all servers of a process share: its memory, time for parsing, and reports. */
import { budgetLimits, MemoryBudget } from '../../core/buffering/index.js';
import type { Log } from '../../core/logging/index.js';
import type { Metrics } from '../../core/metrics/index.js';
import { ReadAllowance } from '../read-allowance.js';
import { READ_BURST_SHARE, READ_SHARE_PER_MS } from './consts.js';
import { DiscardAllowance } from './discard-allowance.js';
import { ParseQueue } from './parse-queue.js';

/** Dependencies of `createClientLimits`. */
export interface ClientLimitsDeps {
  /** Memory of the instance, bytes. */
  readonly memoryBytes: number;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly nowMs: () => number;
}

/** Limits of the clients of one process. */
export interface ClientLimits extends Pick<ClientLimitsDeps, 'log' | 'metrics' | 'nowMs'> {
  /** Budget of the bytes that the process buffers. */
  readonly memory: MemoryBudget;
  readonly queue: ParseQueue;
  readonly discards: DiscardAllowance;
  /** Rate at which many large requests are read. */
  readonly reads: ReadAllowance;
  /** Connections on which a large request arrives. */
  readonly largeReaders: Set<object>;
}

/**
 * Creates the limits of one process.
 * @example const limits = createClientLimits({ memoryBytes, log, metrics, nowMs });
 */
export function createClientLimits(deps: ClientLimitsDeps): ClientLimits {
  const { memoryBytes, log, metrics, nowMs } = deps;
  const memory = new MemoryBudget(budgetLimits(memoryBytes), nowMs);
  metrics.gauge('buffered_bytes', () => memory.usedBytes);
  metrics.gauge('buffered_peak_bytes', () => memory.peakBytes);
  metrics.gauge('buffered_budget_bytes', () => memory.limits.totalBytes);
  return {
    log,
    metrics,
    nowMs,
    memory,
    queue: new ParseQueue(nowMs),
    discards: new DiscardAllowance(nowMs),
    largeReaders: new Set(),
    reads: new ReadAllowance(nowMs, {
      burstBytes: memoryBytes * READ_BURST_SHARE,
      bytesPerMs: memoryBytes * READ_SHARE_PER_MS,
    }),
  };
}
