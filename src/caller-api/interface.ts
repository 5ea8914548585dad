/** The product's own interface towards callers: chat completions, and calls passed to plain services. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { PublishedConfig, Route } from '../core/published/index.js';
import { Err, Ok, type Result } from '../core/result/index.js';
import type { CallerApi, GatewayRequest, Refusal, RequestContent } from '../gateway/index.js';
import type { ConfigurationBody } from '../generated/configuration.types.js';
import { parseChat } from './chat.js';
import { CALLER_HEADER, CHAT_PATH, MODELS_PATH, SERVICES_PREFIX } from './consts.js';
import { readAnswer, readCaller, writeAttempt } from './headers.js';
import type { OrganisationLimits } from './organisation-limits.js';
import { routeTo } from './published.js';

/** What the interface needs. */
export interface CallerApiParts {
  /** The document in force; undefined before the first. */
  readonly body: () => ConfigurationBody | undefined;
  readonly nextRequestId: () => string;
  /** Longest time for which a request is held, ms. */
  readonly timeoutMs: number;
  readonly limits: OrganisationLimits;
}

/**
 * Splits a path into its service and the rest.
 * @example splitServicePath('/services/boarding/passes/7') // { service: 'boarding', rest: '/passes/7' }
 */
export function splitServicePath(path: string): { service: string; rest: string } {
  const tail = path.slice(SERVICES_PREFIX.length);
  const end = tail.search(/[/?]/);
  if (end < 0) return { service: tail, rest: '/' };
  const rest = tail.slice(end);
  return { service: tail.slice(0, end), rest: rest.startsWith('/') ? rest : `/${rest}` };
}

/** Whether a call may run at most once: by the service's declaration or by the caller's word. */
function isOnce(
  service: ConfigurationBody['services'][number],
  req: IncomingMessage,
  rest: string,
): boolean {
  if (req.headers[CALLER_HEADER.repeatable] === 'no') return true;
  return service.notRepeatable.some(
    (rule) => rule.method === req.method && rest.startsWith(rule.pathPrefix),
  );
}

/**
 * Makes the interface.
 * @example createContext({ ...parts, callers: createCallerApi(apiParts) })
 */
export function createCallerApi(parts: CallerApiParts): CallerApi {
  const { timeoutMs } = parts;

  function routeOf(_: PublishedConfig, __: unknown, req: IncomingMessage): Route | undefined {
    const path = req.url ?? '/';
    const isChat = path === CHAT_PATH && req.method === 'POST';
    const isList = path === MODELS_PATH && req.method === 'GET';
    // Which model is meant stands in the body.
    if (isChat || isList) return routeTo(path, 'repeatable', timeoutMs);
    if (!path.startsWith(SERVICES_PREFIX)) return undefined;
    const { service: id, rest } = splitServicePath(path);
    const service = parts.body()?.services.find((s) => s.id === id);
    return service && routeTo(id, isOnce(service, req, rest) ? 'once' : 'repeatable', timeoutMs);
  }

  function readContent(request: GatewayRequest): Result<RequestContent, Refusal> {
    if (request.route.id !== CHAT_PATH) return Ok({ route: request.route });
    if (request.req.headers[CALLER_HEADER.repeatable] === 'no') {
      const detail = `Header ${CALLER_HEADER.repeatable}: no is for calls to services; answers of models are repeatable.`;
      return Err({ reason: 'header-invalid', detail });
    }
    const chat = parseChat(request.body);
    if (chat.err) return chat;
    const { model, isStream, tokens } = chat.val;
    if (!parts.body()?.models.some((m) => m.id === model))
      return Err({ reason: 'model-unknown', detail: model.slice(0, 80) });
    const route = routeTo(model, isStream ? 'stream' : 'repeatable', timeoutMs);
    return Ok({ route, tokens });
  }

  function answer(req: IncomingMessage, res: ServerResponse): boolean {
    if (req.url !== MODELS_PATH || req.method !== 'GET') return false;
    const models = parts.body()?.models ?? [];
    const data = models.map(({ id }) => ({ id, object: 'model', owned_by: 'harrierglade' }));
    res.writeHead(200, { 'content-type': 'application/json' });
    res.end(JSON.stringify({ object: 'list', data }));
    return true;
  }

  return {
    readRequest: (headers) => readCaller(headers, parts.nextRequestId()),
    writeAttempt,
    readResponse: readAnswer,
    requestIdHeader: CALLER_HEADER.requestId,
    routeOf,
    readContent,
    answer,
    upstreamPath: (url) => (url.startsWith(SERVICES_PREFIX) ? splitServicePath(url).rest : url),
    admit: (request) => parts.limits.admit(request),
  };
}
