/** What the parts of one gateway share. */
import type { KnownLimits } from '../core/backpressure/index.js';
import type { Clock } from '../core/clock/index.js';
import type { EngineInfo, PublishedEndpoint, ServiceId } from '../core/published/index.js';
import { RetryBudget } from '../core/retry/index.js';
import { KEY_PROOF_MARGIN_MS, RETRY_SHARERS, RETRY_SHARE_USED } from './consts.js';
import { CrashWatch } from './crash-detector.js';
import { Endpoints, type EndpointParts } from './endpoints.js';
import type { GroupId } from '../core/ids/index.js';
import type { CrashNews, EndpointProcess } from '../generated/messages.types.js';
import type { GroupSize } from './group-sight.js';
import { ServiceGroups } from './service-groups.js';
import type { ServiceState } from './service-state.js';
import type { CallerInterface, GatewaySettings } from './types.js';

/** What a gateway is made from. */
export interface GatewayParts extends EndpointParts {
  readonly settings: GatewaySettings;
  /** The limits that endpoints named. */
  readonly limits: KnownLimits;
  /** Clock of all ages and deadlines that a promise rests on. */
  readonly ageClock: Clock;
  /** Passes on to other entries which requests crashed endpoints here. */
  readonly tellCrashes: (news: CrashNews) => void;
  /** Passes on to other entries that an endpoint said that it leaves. */
  readonly tellLeaving: (endpoint: EndpointProcess) => void;
  /** Retries allowed for each request, by all entries together; asked for at each request. */
  readonly retryShare: () => number;
  readonly callers: CallerInterface;
  /** Entries that are known to send to the same groups; 0 while none was heard of. */
  readonly entriesKnown: () => number;
  /** What is known of a group as a whole; undefined when nothing was heard of it lately. */
  readonly groupSize: (group: GroupId) => GroupSize | undefined;
  /** The group of a model engine; undefined while it is not known. */
  readonly groupOf: (endpoint: PublishedEndpoint) => GroupId | undefined;
}

/** Shared by all requests of one gateway. */
export interface GatewayContext extends GatewayParts {
  readonly crashes: CrashWatch;
  readonly endpoints: Endpoints;
  readonly serviceOf: (id: ServiceId) => ServiceState;
  /** Whether the configuration is proved fresh enough to honour keys. */
  readonly keysProved: () => boolean;
}

/** Retries that an entry may always take: a fault that it meets alone must not end its requests. */
const LEAST_RETRY_EXTRA = 2;

/**
 * This entry's part of the retries that all entries may take beyond the share of their requests. Where it was a part for 48 entries whatever their
 * number, 137 of them could take 1,279 of the 448 that a large deployment allows (retry.test).
 * @example retryExtra(448, 137) // 3.27
 */
export function retryExtra(extra: number, entriesKnown: number): number {
  return Math.max(LEAST_RETRY_EXTRA, extra / Math.max(RETRY_SHARERS, entriesKnown));
}

/**
 * Puts the shared parts together.
 * @example const ctx = createContext(parts);
 */
export function createContext(parts: GatewayParts): GatewayContext {
  const { settings, state, ageClock } = parts;
  const services = new Map<ServiceId, ServiceState>();
  // What endpoints ask for runs on while this machine is suspended.
  const endpoints = new Endpoints({ ...parts, clock: ageClock });
  const makeService = (id: ServiceId): ServiceState => {
    const engine = (): EngineInfo | undefined => state.config?.services.get(id)?.engine;
    const budget = new RetryBudget({
      clock: ageClock,
      windowMs: settings.retryWindowMs,
      share: () => parts.retryShare() * RETRY_SHARE_USED,
      extra: () => retryExtra(settings.retryExtra, parts.entriesKnown()),
    });
    return {
      id,
      budget,
      groups:
        engine() &&
        new ServiceGroups({
          clock: ageClock,
          dataCentre: parts.dataCentre,
          engine,
          endpoints: () => state.workingOf(id),
          groupOf: parts.groupOf,
          sizeOf: parts.groupSize,
          mayAsk: (endpoint) => endpoints.mayAsk(endpoint),
        }),
    };
  };
  return {
    ...parts,
    endpoints,
    crashes: new CrashWatch({ ...parts, clock: ageClock, tell: parts.tellCrashes }),
    keysProved: () =>
      state.proofAgeMs(ageClock.nowMs()) <= settings.keyProofMs - KEY_PROOF_MARGIN_MS,
    serviceOf: (id) => {
      const known = services.get(id);
      if (known) return known;
      const made = makeService(id);
      services.set(id, made);
      return made;
    },
  };
}
