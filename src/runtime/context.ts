/** The context that the components of one daemon share. */
import type { ClientLimits } from './connections/index.js';
import type { ConnectionPools } from './connection-pools.js';
import type { Clock, pauseDetector, Random } from '../core/clock/index.js';
import type { FeedStore } from '../core/config-feed/index.js';
import type { Incarnation, InstanceId } from '../core/ids/index.js';
import type { Log } from '../core/logging/index.js';
import type { InstanceView } from '../core/membership/index.js';
import type { Metrics } from '../core/metrics/index.js';
import type { FullSettings } from '../core/settings/index.js';
import type { Peers } from '../rpc/index.js';

/** Settings, clocks, log, published state and connections of one daemon. */
export interface DaemonContext {
  readonly settings: FullSettings;
  readonly self: InstanceId;
  readonly incarnation: Incarnation;
  readonly startedWallMs: number;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly store: FeedStore;
  readonly view: () => InstanceView;
  readonly peers: Peers;
  readonly connections: ConnectionPools;
  /** Limits of the clients of this process. */
  readonly clients: ClientLimits;
  readonly pauseDetector: ReturnType<typeof pauseDetector>;
  /** Whether this instance takes no new requests: a stop was requested, or it is listed as leaving. */
  readonly isLeaving: () => boolean;
  /** Aborted when the daemon stops. */
  readonly signal: AbortSignal;
}
