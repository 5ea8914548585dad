/** What the connections of all servers of a process share: its memory, time for parsing, and reports. */
import { budgetLimits, MemoryBudget } from '../../core/buffering/index.js';
import type { Log } from '../../core/logging/index.js';
import type { Metrics } from '../../core/metrics/index.js';
import { ReadAllowance } from '../read-allowance.js';
import { READ_BURST_SHARE, READ_SHARE_PER_MS } from './consts.js';
import { DiscardAllowance } from './discard-allowance.js';
import { ParseQueue } from './parse-queue.js';
import type { SharedReads } from './read-pace.js';

/** Dependencies of `createClientLimits`. */
export interface ClientLimitsDeps {
  readonly role: 'entry' | 'agent';
  /** Memory of the instance, bytes. */
  readonly memoryBytes: number;
  /** Descriptors that the process may have open. */
  readonly descriptors: number;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly nowMs: () => number;
}

/** Limits of the clients of one process. */
export interface ClientLimits
  extends SharedReads, Pick<ClientLimitsDeps, 'log' | 'metrics' | 'nowMs'> {
  /** Budget of the bytes that the process buffers. */
  readonly memory: MemoryBudget;
  readonly connections: ConnectionShares;
  readonly queue: ParseQueue;
  readonly discards: DiscardAllowance;
}

/** Maximum number of open connections of each server of a process. */
export interface ConnectionShares {
  readonly callers: number;
  /** Of the server for other daemons. */
  readonly daemons: number;
  /** Of each server for the platform or operators. */
  readonly operators: number;
}

/** Descriptors that are kept for files. */
const FILE_DESCRIPTORS = 200;
/** Shares of the other descriptors; the rest is for connections that the process opens. */
const CALLERS_SHARE = 0.45;
const DAEMONS_SHARE = 0.2;
/** An agent has no callers. */
const AGENT_DAEMONS_SHARE = 0.5;
const OPERATORS_SHARE = 0.05;

/**
 * Divides the descriptors of a process among its servers.
 * @example shareConnections(4200, 'entry').callers // 1800
 */
export function shareConnections(descriptors: number, role: 'entry' | 'agent'): ConnectionShares {
  const sockets = Math.max(descriptors - FILE_DESCRIPTORS, descriptors / 2);
  const share = (part: number): number => Math.ceil(sockets * part);
  return {
    callers: role === 'entry' ? share(CALLERS_SHARE) : 0,
    daemons: share(role === 'entry' ? DAEMONS_SHARE : AGENT_DAEMONS_SHARE),
    operators: share(OPERATORS_SHARE),
  };
}

/**
 * Creates the limits of one process.
 * @example const limits = createClientLimits({ role: 'entry', memoryBytes, descriptors, log, metrics, nowMs });
 */
export function createClientLimits(deps: ClientLimitsDeps): ClientLimits {
  const { role, memoryBytes, descriptors, log, metrics, nowMs } = deps;
  const memory = new MemoryBudget(budgetLimits(memoryBytes), nowMs);
  metrics.gauge('buffered_bytes', () => memory.usedBytes);
  metrics.gauge('buffered_peak_bytes', () => memory.peakBytes);
  metrics.gauge('buffered_budget_bytes', () => memory.limits.totalBytes);
  return {
    log,
    metrics,
    nowMs,
    memory,
    connections: shareConnections(descriptors, role),
    queue: new ParseQueue(nowMs),
    discards: new DiscardAllowance(nowMs),
    largeReaders: new Set(),
    reads: new ReadAllowance(nowMs, {
      burstBytes: memoryBytes * READ_BURST_SHARE,
      bytesPerMs: memoryBytes * READ_SHARE_PER_MS,
    }),
  };
}
