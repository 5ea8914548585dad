/** State shared by all requests of one gateway. */
import type { MemoryBudget } from '../core/buffering/index.js';
import { ColdEndpoints, type KnownLimits } from '../core/backpressure/index.js';
import type { Clock } from '../core/clock/index.js';
import type { EngineInfo, PublishedEndpoint, ServiceId } from '../core/published/index.js';
import type { ClientLimits } from '../runtime/connections/index.js';
import { RetryBudget } from '../core/retry/index.js';
import { KEY_FRESHNESS_MARGIN_MS, ASSUMED_RETRY_PEERS, RETRY_SHARE_USED } from './consts.js';
import { CrashDetector } from './requests/crash-detector.js';
import { Endpoints, type EndpointsDeps } from './endpoints/endpoints.js';
import type { GroupId } from '../core/ids/index.js';
import type { CrashUpdate, EndpointProcess } from '../generated/messages.types.js';
import type { GroupLoad } from './groups/group-status.js';
import { UrgencyTable } from './groups/urgency-table.js';
import { ServiceGroups } from './groups/service-groups.js';
import type { ServiceState } from './groups/service-state.js';
import type { CallerApi, GatewaySettings } from './types.js';

/** Dependencies of a gateway. */
export interface GatewayDeps extends EndpointsDeps {
  readonly settings: GatewaySettings;
  /** Limits of the clients of this process. */
  readonly clients: ClientLimits;
  /** Rate limits announced by endpoints. */
  readonly limits: KnownLimits;
  /** Clock for ages and deadlines; also advances while the machine is suspended. */
  readonly ageClock: Clock;
  /** Sends other entries what this one observed of requests that crash endpoints. */
  readonly broadcastCrashes: (update: CrashUpdate) => void;
  /** Sends other entries an endpoint's announcement that it is leaving. */
  readonly broadcastLeaving: (endpoint: EndpointProcess) => void;
  /** Returns the retries allowed per request, over all entries; read at each request. */
  readonly retryShare: () => number;
  readonly callers: CallerApi;
  /** Returns the number of entries known to send to the same groups; 0 while unknown. */
  readonly knownEntries: () => number;
  /** Returns the latest load of a group; undefined if it is unknown or too old. */
  readonly groupLoad: (group: GroupId) => GroupLoad | undefined;
  /** Returns the group of a model engine; undefined while it is unknown. */
  readonly groupOf: (endpoint: PublishedEndpoint) => GroupId | undefined;
}

/** Dependencies and state shared by all requests of one gateway. */
export interface GatewayContext extends GatewayDeps {
  readonly crashes: CrashDetector;
  readonly cold: ColdEndpoints;
  readonly endpoints: Endpoints;
  /** Budget of the bytes that this process buffers. */
  readonly memory: MemoryBudget;
  readonly serviceOf: (id: ServiceId) => ServiceState;
  /** Whether the configuration was confirmed as current recently enough to honour keys. */
  readonly areKeysConfirmed: () => boolean;
}

/** Minimum extra retries of an entry: a fault that only this entry sees must not fail its requests. */
const MIN_RETRY_EXTRA = 2;

/**
 * Returns this entry's part of the extra retries that all entries share beyond the ratio of their requests.
 * Dividing by a fixed 48 entries would let 137 entries make 1,279 extra retries where a large deployment
 * allows 448.
 * @example retryExtra(448, 137) // 3.27
 */
export function retryExtra(extra: number, knownEntries: number): number {
  return Math.max(MIN_RETRY_EXTRA, extra / Math.max(ASSUMED_RETRY_PEERS, knownEntries));
}

function createColdEndpoints(deps: GatewayDeps): ColdEndpoints {
  const { state, ageClock, random, knownEntries, log, metrics } = deps;
  const cold = new ColdEndpoints({
    clock: ageClock,
    random,
    coldStartOf: (service) => state.config?.services.get(service)?.coldStart,
    countKnown: knownEntries,
    onCold: ({ id, service }, why, forMs) => {
      metrics.count('cold_starts_total', { service, why });
      log.info('endpoint.cold', { endpoint: id, why, forMs: Math.round(forMs) });
    },
  });
  metrics.gauge('cold_endpoints', () => cold.count(state.list.values()));
  return cold;
}

/**
 * Creates the endpoint table, crash watch and per-service state of a gateway.
 * @example const ctx = createContext(deps);
 */
export function createContext(deps: GatewayDeps): GatewayContext {
  const { settings, state, ageClock } = deps;
  const services = new Map<ServiceId, ServiceState>();
  const urgencies = new UrgencyTable(() => state.config);
  // Backoff times and limits of endpoints keep running while this machine is suspended.
  const cold = createColdEndpoints(deps);
  const endpoints = new Endpoints({ ...deps, clock: ageClock, cold });
  const makeService = (id: ServiceId): ServiceState => {
    const engine = (): EngineInfo | undefined => state.config?.services.get(id)?.engine;
    const budget = new RetryBudget({
      clock: ageClock,
      windowMs: settings.retryWindowMs,
      share: () => deps.retryShare() * RETRY_SHARE_USED,
      extra: () => retryExtra(settings.retryExtra, deps.knownEntries()),
    });
    return {
      id,
      budget,
      groups:
        engine() &&
        new ServiceGroups({
          clock: ageClock,
          dataCentre: deps.dataCentre,
          engine,
          endpoints: () => state.availableEndpoints(id),
          groupOf: deps.groupOf,
          loadOf: deps.groupLoad,
          ...(settings.hasAdmissionLevel && { urgencies: () => urgencies.of(id) }),
          isAvailable: (endpoint) => endpoints.isAvailable(endpoint),
        }),
    };
  };
  return {
    ...deps,
    cold,
    endpoints,
    memory: deps.clients.memory,
    crashes: new CrashDetector({
      ...deps,
      clock: ageClock,
      readPromptParts: deps.callers.readPromptParts,
      publish: deps.broadcastCrashes,
    }),
    areKeysConfirmed: () =>
      state.confirmedAgoMs(ageClock.nowMs()) <= settings.keyFreshnessMs - KEY_FRESHNESS_MARGIN_MS,
    serviceOf: (id) => {
      const known = services.get(id);
      if (known) return known;
      const created = makeService(id);
      services.set(id, created);
      return created;
    },
  };
}
