/** State of one endpoint process at this entry. */
import type { EndpointGate } from '../../core/backpressure/index.js';
import type { StreamCountHistory } from '../../core/limits/index.js';
import type { PublishedEndpoint } from '../../core/published/index.js';
import type { EndpointHealth } from '../../core/routing/index.js';
import type { ReplaceablePool } from '../../runtime/replaceable-pool.js';

/** Why a request was sent to an endpoint; label `reason` of `placements_total`. */
export type PlacementReason =
  /** The best rank of this data centre, or of another one that was better by a margin. */
  | 'near'
  | 'far'
  /** No rank of this data centre had room. */
  | 'spilled'
  /** A rank that just rejected a request was avoided. */
  | 'corrected'
  /** No rank was in a usable state. */
  | 'last-resort';

/** State of one endpoint process at this entry. */
export interface EndpointState {
  readonly endpoint: PublishedEndpoint;
  readonly connections: ReplaceablePool;
  readonly health: EndpointHealth;
  /** Admits requests according to the endpoint's backpressure signals. */
  readonly gate: EndpointGate;
  /** Cancels each attempt that waits for a connection and is not sent yet, with the reason. */
  readonly cancelUnsent: Set<(reason: string) => void>;
  /** Requests in flight. */
  running: number;
  /** Requests in flight over the last seconds. */
  readonly history: StreamCountHistory;
  /** Tokens of the prompts of requests without a first event, by request. */
  readonly unreadPrompts: Map<string, number>;
  /** Sum of `unreadPrompts`. */
  unreadTokens: number;
  /** Until when it counts as full after a rejection, ms. */
  fullUntilMs: number;
  /** When this entry first saw the process; older counts are of its predecessor. */
  readonly firstSeenAtMs: number;
  /** Why it was last chosen. */
  reason: PlacementReason | undefined;
  /** Exponential moving average of failed attempts, 0 to 1. */
  failureShare: number;
  /** Exponential moving average of the time to the first byte of a response, ms; 0 before the first. */
  meanResponseMs: number;
  /** Sequence number of the last request sent here; breaks ties in favour of the least recently used. */
  lastSentSequence: number;
}

/**
 * Weight of the squared failure share in an endpoint's score: one that fails half of its requests is
 * chosen only if the others have three times its load.
 */
const FAILURE_PENALTY = 8;

/**
 * Factor by which recent failures of an endpoint raise its score.
 * @example failurePenalty(state) // 3 if half of its requests fail
 */
export function failurePenalty({ failureShare }: EndpointState): number {
  return 1 + FAILURE_PENALTY * failureShare ** 2;
}
