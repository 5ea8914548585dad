/** What the operators and endpoints publish, decoded into types that say what they hold. */
import type { EndpointId, Id, OrganisationId } from '../ids/index.js';

export type ServiceId = Id<'service'>;
export type RouteId = Id<'route'>;
export type DataCentreId = Id<'data-centre'>;

/**
 * What may be done with a request of a route: run again at will, run once at most, or a stream of
 * events (which may be taken up elsewhere where the route is resumable).
 */
export type RouteKind = 'repeatable' | 'once' | 'stream';

/** One share of a route's traffic. */
export interface TrafficShare {
  readonly service: ServiceId;
  /** Relative to the other shares of the route. */
  readonly weight: number;
}

/** One route: a host and a path prefix, and how its requests are to be treated. */
export interface Route {
  readonly id: RouteId;
  readonly host: string;
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Longest time that one request may be held, ms. */
  readonly timeoutMs: number;
  /** Time within which an answer, or a stream's first event, is worth most, ms. */
  readonly targetMs: number;
  /** Longest pause between events of a stream that is still in time, ms; streams only. */
  readonly gapMs: number | undefined;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly shares: readonly TrafficShare[];
  /** Endpoints that one request may be sent to, the first included. */
  readonly maxAttempts: number;
  /** Whether callers need no key. */
  readonly isPublic: boolean;
  /** Whether a broken stream may go on at another endpoint. */
  readonly resumable: boolean;
}

/** One service: a set of endpoints that are alike. */
export interface ServiceInfo {
  readonly id: ServiceId;
  /** Connections that one endpoint takes from all callers together. */
  readonly maxConnections: number;
  /** What the endpoints are as model engines; undefined for plain services. */
  readonly engine: EngineInfo | undefined;
}

/** A service's model engines. */
export interface EngineInfo {
  /** Requests that one engine works on at once. */
  readonly slots: number;
  /** Layers, or sets of layers, that have an expert map of their own. */
  readonly layers: number;
  /** Experts that one rank can hold in a layer. */
  readonly slotsPerRank: number;
  /** Experts that one map may bring anew to a rank and layer. */
  readonly mostNew: number;
  /** Time that one rank takes to copy an expert, ms. */
  readonly copyMs: number;
  /** Size of an expert, GB. */
  readonly expertGb: number;
  /** Time of a token step, ms: `stepMs`, and `perRequestMs` more for each request of a rank. */
  readonly stepMs: number;
  readonly perRequestMs: number;
}

/** One organisation and what it may be recognised by. */
export interface Organisation {
  readonly id: OrganisationId;
  readonly priority: number;
}

/** Limits on what a caller may send, and for how long it may take. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerMs: number;
  /** Time that an idle connection is kept, ms. */
  readonly idleMs: number;
}

/** One version of the configuration, ready to be looked up. */
export interface PublishedConfig {
  readonly version: number;
  /** Routes by host, longest prefix first. */
  readonly routesByHost: ReadonlyMap<string, readonly Route[]>;
  readonly services: ReadonlyMap<ServiceId, ServiceInfo>;
  /** Organisations by key; undefined when no route needs one. */
  readonly organisationsByKey: ReadonlyMap<string, Organisation> | undefined;
  readonly limits: CallerLimits;
  /** The document as it was published, to be passed on; undefined where it came in another form. */
  readonly document?: string;
}

/** One endpoint as it publishes itself. */
export interface PublishedEndpoint {
  readonly id: EndpointId;
  readonly service: ServiceId;
  /** host:port */
  readonly address: string;
  readonly dataCentre: DataCentreId;
  /** Requests that it works on at once. */
  readonly slots: number;
  readonly isLeaving: boolean;
  /**
   * When its process started, Unix ms; 0 where it does not say. One that starts again may keep its id, and holds nothing
   * of before.
   */
  readonly startedAtMs: number;
}

/** One process of an endpoint; a later one may have its id. */
export type EndpointProcess = Pick<PublishedEndpoint, 'id' | 'startedAtMs'>;
