/** What the parts of one gateway share. */
import type { EngineInfo, PublishedEndpoint, ServiceId } from '../core/published/index.js';
import { RetryBudget } from '../core/retry/index.js';
import { KEY_PROOF_MARGIN_MS, RETRY_SHARERS, RETRY_SHARE_USED } from './consts.js';
import { Endpoints, type EndpointParts } from './endpoints.js';
import type { GroupId } from '../core/ids/index.js';
import type { GroupSize } from './group-sight.js';
import { ServiceGroups } from './service-groups.js';
import type { ServiceState } from './serve-request.js';
import type { CallerInterface, GatewaySettings } from './types.js';

/** What a gateway is made from. */
export interface GatewayParts extends EndpointParts {
  readonly settings: GatewaySettings;
  /** Retries allowed for each request, by all entries together; asked for at each request. */
  readonly retryShare: () => number;
  readonly callers: CallerInterface;
  /** What is known of a group as a whole; undefined when nothing was heard of it lately. */
  readonly groupSize: (group: GroupId) => GroupSize | undefined;
  /** The group of a model engine; undefined while it is not known. */
  readonly groupOf: (endpoint: PublishedEndpoint) => GroupId | undefined;
}

/** Shared by all requests of one gateway. */
export interface GatewayContext extends GatewayParts {
  readonly endpoints: Endpoints;
  readonly serviceOf: (id: ServiceId) => ServiceState;
  /** Whether the configuration is proved fresh enough to honour keys. */
  readonly keysProved: () => boolean;
}

/**
 * Puts the shared parts together.
 * @example const ctx = createContext(parts);
 */
export function createContext(parts: GatewayParts): GatewayContext {
  const { settings, state, clock } = parts;
  const services = new Map<ServiceId, ServiceState>();
  const makeService = (id: ServiceId): ServiceState => {
    const engine = (): EngineInfo | undefined => state.config?.services.get(id)?.engine;
    const budget = new RetryBudget(
      () => parts.retryShare() * RETRY_SHARE_USED,
      Math.max(2, settings.retryExtra / RETRY_SHARERS),
    );
    return {
      id,
      budget,
      groups:
        engine() &&
        new ServiceGroups({
          clock,
          dataCentre: parts.dataCentre,
          engine,
          endpoints: () => state.workingOf(id),
          groupOf: parts.groupOf,
          sizeOf: parts.groupSize,
        }),
    };
  };
  return {
    ...parts,
    endpoints: new Endpoints(parts),
    keysProved: () => state.proofAgeMs(clock.nowMs()) <= settings.keyProofMs - KEY_PROOF_MARGIN_MS,
    serviceOf: (id) => {
      const known = services.get(id);
      if (known) return known;
      const made = makeService(id);
      services.set(id, made);
      return made;
    },
  };
}
