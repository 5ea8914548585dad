/** The API for callers: chat completions, the model list, and calls forwarded to plain services. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { PublishedConfig, Route } from '../core/published/index.js';
import { Err, Ok, type Result } from '../core/result/index.js';
import type { CallerApi, GatewayRequest, Refusal, RequestContent } from '../gateway/index.js';
import type { ConfigurationBody } from '../generated/configuration.types.js';
import { parseChatRequest } from './chat.js';
import { CALLER_HEADERS, CHAT_PATH, MODELS_PATH, SERVICES_PREFIX } from './consts.js';
import { readResponseHead, readRequestHead, attemptHeaders } from './headers.js';
import type { OrganisationLimits } from './organisation-limits.js';
import { createRoute } from './published.js';

/** Dependencies and options of the caller API. */
export interface CallerApiDeps {
  /** Body of the configuration in force; undefined before the first document. */
  readonly body: () => ConfigurationBody | undefined;
  readonly nextRequestId: () => string;
  /** Request timeout of every route, ms. */
  readonly timeoutMs: number;
  readonly limits: OrganisationLimits;
}

/**
 * Splits a service path into the service id and the path that is forwarded.
 * @example splitServicePath('/services/boarding/passes/7') // { service: 'boarding', rest: '/passes/7' }
 */
export function splitServicePath(path: string): { service: string; rest: string } {
  const tail = path.slice(SERVICES_PREFIX.length);
  const end = tail.search(/[/?]/);
  if (end < 0) return { service: tail, rest: '/' };
  const rest = tail.slice(end);
  return { service: tail.slice(0, end), rest: rest.startsWith('/') ? rest : `/${rest}` };
}

/** Whether a call may run at most once, by a rule of the service or by the caller's header. */
function isAtMostOnce(
  service: ConfigurationBody['services'][number],
  req: IncomingMessage,
  rest: string,
): boolean {
  if (req.headers[CALLER_HEADERS.repeatable] === 'no') return true;
  return service.notRepeatable.some(
    (rule) => rule.method === req.method && rest.startsWith(rule.pathPrefix),
  );
}

/**
 * Creates the caller API that the gateway calls.
 * @example createContext({ ...deps, callers: createCallerApi(apiDeps) })
 */
export function createCallerApi(deps: CallerApiDeps): CallerApi {
  const { timeoutMs } = deps;

  function routeOf(_: PublishedConfig, __: unknown, req: IncomingMessage): Route | undefined {
    const path = req.url ?? '/';
    const isChat = path === CHAT_PATH && req.method === 'POST';
    const isModelList = path === MODELS_PATH && req.method === 'GET';
    // `readContent` routes chat requests by the model named in their body.
    if (isChat || isModelList) return createRoute(path, 'repeatable', timeoutMs);
    if (!path.startsWith(SERVICES_PREFIX)) return undefined;
    const { service: id, rest } = splitServicePath(path);
    const service = deps.body()?.services.find((s) => s.id === id);
    return (
      service &&
      createRoute(id, isAtMostOnce(service, req, rest) ? 'once' : 'repeatable', timeoutMs)
    );
  }

  function readContent(request: GatewayRequest): Result<RequestContent, Refusal> {
    if (request.route.id !== CHAT_PATH) return Ok({ route: request.route });
    if (request.req.headers[CALLER_HEADERS.repeatable] === 'no') {
      const detail = `Header "${CALLER_HEADERS.repeatable}: no" applies only to service calls: model requests are always repeatable. Remove it.`;
      return Err({ reason: 'header-invalid', detail });
    }
    const chat = parseChatRequest(request.body);
    if (chat.err) return chat;
    const { model, isStream, tokens } = chat.val;
    if (!deps.body()?.models.some((m) => m.id === model))
      return Err({ reason: 'model-unknown', detail: model.slice(0, 80) });
    const route = createRoute(model, isStream ? 'stream' : 'repeatable', timeoutMs);
    return Ok({ route, tokens });
  }

  function answer(req: IncomingMessage, res: ServerResponse): boolean {
    if (req.url !== MODELS_PATH || req.method !== 'GET') return false;
    const models = deps.body()?.models ?? [];
    const data = models.map(({ id }) => ({ id, object: 'model', owned_by: 'harrierglade' }));
    res.writeHead(200, { 'content-type': 'application/json' });
    res.end(JSON.stringify({ object: 'list', data }));
    return true;
  }

  return {
    readRequest: (headers) => readRequestHead(headers, deps.nextRequestId()),
    writeAttempt: attemptHeaders,
    readResponse: readResponseHead,
    requestIdHeader: CALLER_HEADERS.requestId,
    routeOf,
    readContent,
    answer,
    upstreamPath: (url) => (url.startsWith(SERVICES_PREFIX) ? splitServicePath(url).rest : url),
    admit: (request) => deps.limits.admit(request),
  };
}
