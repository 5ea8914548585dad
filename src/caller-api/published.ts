/** Converts the configuration document and the instance list to the types of the gateway. */
import { asId } from '../core/ids/index.js';
import type { InstanceView } from '../core/membership/index.js';
import type {
  CallerLimits,
  Organisation,
  PublishedConfig,
  PublishedEndpoint,
  Route,
  RouteKind,
  ServiceId,
  ServiceInfo,
} from '../core/published/index.js';
import type { ConfigurationBody, ConfigurationDocument } from '../generated/configuration.types.js';
import {
  ASSUMED_ENDPOINT_SLOTS,
  MAX_EVENT_GAP_MS,
  MAX_ATTEMPTS,
  MAX_ENDPOINT_CONNECTIONS,
  PRIORITY,
  LATENCY_TARGET_MS,
} from './consts.js';

/**
 * A route of the caller API to one model or service.
 * @example createRoute('boarding', 'once', 30_000).shares[0]?.service // 'boarding'
 */
export function createRoute(target: string, kind: RouteKind, timeoutMs: number): Route {
  return {
    id: asId(target),
    host: '',
    pathPrefix: '/',
    kind,
    timeoutMs,
    targetMs: LATENCY_TARGET_MS,
    gapMs: kind === 'stream' ? MAX_EVENT_GAP_MS : undefined,
    priority: PRIORITY.default,
    shares: [{ service: asId<ServiceId>(target), weight: 1 }],
    maxAttempts: MAX_ATTEMPTS,
    isPublic: false,
    resumable: kind === 'stream',
  };
}

function toServiceInfo(id: string): ServiceInfo {
  return { id: asId(id), maxConnections: MAX_ENDPOINT_CONNECTIONS, engine: undefined };
}

/**
 * Converts a configuration document; organisations are looked up by the hash of their API key.
 * @example toPublishedConfig(doc, limits).organisationsByKey?.get(keyHash('secret'))?.id
 */
export function toPublishedConfig(
  doc: ConfigurationDocument,
  limits: CallerLimits,
): PublishedConfig {
  const { body } = doc;
  const targets = [...body.models, ...body.services].map(({ id }) => toServiceInfo(id));
  const organisations = body.organisations.map((o): readonly [string, Organisation] => [
    o.keySha256,
    { id: asId(o.id), priority: PRIORITY.default },
  ]);
  return {
    version: doc.version,
    routesByHost: new Map(),
    services: new Map(targets.map((service) => [service.id, service])),
    organisationsByKey: new Map(organisations),
    limits,
  };
}

/** Maps each endpoint to the model or service that lists it. */
function targetsByEndpoint(body: ConfigurationBody): Map<string, string> {
  return new Map(
    [...body.models, ...body.services].flatMap(({ id, endpoints }) =>
      endpoints.map((endpoint) => [endpoint, id] as const),
    ),
  );
}

/**
 * The endpoints in the instance list that a model or service of the document uses.
 * @example toPublishedEndpoints(view, doc.body).map((e) => e.address)
 */
export function toPublishedEndpoints(
  view: InstanceView,
  body: ConfigurationBody,
): PublishedEndpoint[] {
  const targets = targetsByEndpoint(body);
  return view.endpoints.flatMap((listed) => {
    const endpoint = listed.endpoint ?? '';
    const target = targets.get(endpoint);
    if (target === undefined) return [];
    const published: PublishedEndpoint = {
      id: asId(endpoint),
      service: asId<ServiceId>(target),
      address: listed.address,
      dataCentre: asId(listed.dataCentre),
      slots: ASSUMED_ENDPOINT_SLOTS,
      isLeaving: listed.state === 'leaving',
      startedAtMs: 0,
    };
    return [published];
  });
}
