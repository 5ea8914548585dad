/** Decoded types of what operators and endpoints publish. */
import type { EndpointId, Id, OrganisationId } from '../ids/index.js';

export type ServiceId = Id<'service'>;
export type RouteId = Id<'route'>;
export type DataCentreId = Id<'data-centre'>;

/**
 * How a route's requests may be retried: any number of times, at most one execution, or a stream of
 * events (which may continue at another endpoint if the route is resumable).
 */
export type RouteKind = 'repeatable' | 'once' | 'stream';

/** A service's share of a route's traffic. */
export interface TrafficShare {
  readonly service: ServiceId;
  /** Relative to the other shares of the route. */
  readonly weight: number;
}

/** A host and a path prefix, and how matching requests are handled. */
export interface Route {
  readonly id: RouteId;
  readonly host: string;
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Upper limit on the duration of one request, ms. */
  readonly timeoutMs: number;
  /** Latency target for a response, or for the first event of a stream, ms. */
  readonly targetMs: number;
  /** Longest pause between events of a stream within the latency target, ms; streams only. */
  readonly gapMs: number | undefined;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly shares: readonly TrafficShare[];
  /** Endpoints that one request may be sent to, including the first. */
  readonly maxAttempts: number;
  /** Whether callers need no API key. */
  readonly isPublic: boolean;
  /** Whether a broken stream may continue at another endpoint. */
  readonly resumable: boolean;
}

/** A set of interchangeable endpoints. */
export interface ServiceInfo {
  readonly id: ServiceId;
  /** Connections that one endpoint accepts from all callers together. */
  readonly maxConnections: number;
  /** Properties of its model engines; undefined for plain services. */
  readonly engine: EngineInfo | undefined;
  /** Omitted if its endpoints are never cold. */
  readonly coldStart?: ColdStart;
}

/** How endpoints start: for some seconds they bear few requests. */
export interface ColdStart {
  /** Time after a start during traffic, ms. */
  readonly durationMs: number;
  /** Requests/s that a cold endpoint bears from all entries together. */
  readonly perS: number;
}

/** Properties of a service's model engines. */
export interface EngineInfo {
  /** Requests that one engine processes concurrently. */
  readonly slots: number;
  /** Layers, or sets of layers, that have their own expert map. */
  readonly layers: number;
  /** Experts that one rank can hold in a layer. */
  readonly slotsPerRank: number;
  /** New experts that one map may assign to a rank in a layer. */
  readonly maxNewPerRankAndLayer: number;
  /** Time for one rank to copy an expert, ms. */
  readonly copyMs: number;
  /** Size of an expert, GB. */
  readonly expertGb: number;
  /** Duration of a token step, ms: `stepMs` plus `perRequestMs` for each request on a rank. */
  readonly stepMs: number;
  readonly perRequestMs: number;
  /** Token steps in one pass over the requests of a rank. */
  readonly stepsPerPass: number;
  /** Prompt tokens that a rank reads per ms; 0 if unknown. */
  readonly promptTokensPerMs: number;
}

/** An organisation and the priority of its requests. */
export interface Organisation {
  readonly id: OrganisationId;
  /** 0 is the most urgent; goes before the route's. Undefined if none is published. */
  readonly priority: number | undefined;
}

/** Limits on the size and duration of what callers send. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerMs: number;
  /** Time for which an idle connection is kept open, ms. */
  readonly idleMs: number;
}

/** One configuration version, indexed for lookups. */
export interface PublishedConfig {
  readonly version: number;
  /** Routes by host, longest prefix first. */
  readonly routesByHost: ReadonlyMap<string, readonly Route[]>;
  readonly services: ReadonlyMap<ServiceId, ServiceInfo>;
  /** Organisations by API key; undefined if no route requires one. */
  readonly organisationsByKey: ReadonlyMap<string, Organisation> | undefined;
  readonly limits: CallerLimits;
  /**
   * The published document, for forwarding; undefined if the configuration came in another form.
   */
  readonly document?: string;
}

/** An endpoint as it publishes itself. */
export interface PublishedEndpoint {
  readonly id: EndpointId;
  readonly service: ServiceId;
  /** `host:port` */
  readonly address: string;
  readonly dataCentre: DataCentreId;
  /** Requests that it processes concurrently. */
  readonly slots: number;
  readonly isLeaving: boolean;
  /**
   * Start time of its process, Unix ms; 0 if unknown. A restarted process may keep its id but holds
   * no state from before.
   */
  readonly startedAtMs: number;
  /** Time for which it is still cold, ms, from when its record was written; omitted if it is not. */
  readonly coldRemainingMs?: number;
}

/** One process of an endpoint; a later one may reuse its id. */
export type EndpointProcess = Pick<PublishedEndpoint, 'id' | 'startedAtMs'>;
