/** The operators' document and the list of instances, in the types that the gateway decides by. */
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
  ENDPOINT_SLOTS,
  GAP_MS,
  MAX_ATTEMPTS,
  MAX_CONNECTIONS,
  PRIORITY,
  TARGET_MS,
} from './consts.js';

/**
 * A route of this interface; its requests go to one model or service.
 * @example routeTo('boarding', 'once', 30_000).shares[0]?.service // 'boarding'
 */
export function routeTo(target: string, kind: RouteKind, timeoutMs: number): Route {
  return {
    id: asId(target),
    host: '',
    pathPrefix: '/',
    kind,
    timeoutMs,
    targetMs: TARGET_MS,
    gapMs: kind === 'stream' ? GAP_MS : undefined,
    priority: PRIORITY.usual,
    shares: [{ service: asId<ServiceId>(target), weight: 1 }],
    maxAttempts: MAX_ATTEMPTS,
    isPublic: false,
    resumable: kind === 'stream',
  };
}

function serviceInfo(id: string): ServiceInfo {
  return { id: asId(id), maxConnections: MAX_CONNECTIONS, engine: undefined };
}

/**
 * One document as the gateway needs it; organisations are found by the hash of their key.
 * @example publishedConfig(doc, limits).organisationsByKey?.get(keyHash('secret'))?.id
 */
export function publishedConfig(doc: ConfigurationDocument, limits: CallerLimits): PublishedConfig {
  const { body } = doc;
  const targets = [...body.models, ...body.services].map(({ id }) => serviceInfo(id));
  const organisations = body.organisations.map((o): readonly [string, Organisation] => [
    o.keySha256,
    { id: asId(o.id), priority: PRIORITY.usual },
  ]);
  return {
    version: doc.version,
    routesByHost: new Map(),
    services: new Map(targets.map((service) => [service.id, service])),
    organisationsByKey: new Map(organisations),
    limits,
  };
}

/** The model or service that names each endpoint. */
function targetsByEndpoint(body: ConfigurationBody): Map<string, string> {
  return new Map(
    [...body.models, ...body.services].flatMap(({ id, endpoints }) =>
      endpoints.map((endpoint) => [endpoint, id] as const),
    ),
  );
}

/**
 * The endpoints that the list names and some model or service of the document uses.
 * @example publishedEndpoints(view, doc.body).map((e) => e.address)
 */
export function publishedEndpoints(
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
      slots: ENDPOINT_SLOTS,
      isLeaving: listed.state === 'leaving',
      startedAtMs: 0,
    };
    return [published];
  });
}
