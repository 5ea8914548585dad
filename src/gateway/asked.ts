/** Notes what endpoints ask for in their answers, and what others heard of it. */
import type { AnswerAsks, AskName } from '../core/backpressure/index.js';
import { asId } from '../core/ids/index.js';
import type { LogFields } from '../core/logging/index.js';
import type { AskNews } from '../generated/messages.types.js';
import type { GatewayContext } from './context.js';
import type { EndpointState } from './endpoints.js';
import type { AnswerHead } from './types.js';
import type { Work } from './work.js';

/** Status by which whatever listens at an address says that it is not the endpoint that was meant. */
const MISDIRECTED = 421;

/** Counts and logs what could not be read. */
function noteUnreadable(work: Work, target: EndpointState, { unreadable }: AnswerAsks): void {
  const { ctx, service } = work;
  for (const what of unreadable) {
    ctx.metrics.count('endpoint_asks_unreadable_total', { service: service.id, what });
    logAsked(work, target, 'endpoint.ask-unreadable', { what });
  }
}

function logAsked(
  { ctx, request }: Work,
  { endpoint }: EndpointState,
  event: string,
  fields: LogFields,
): void {
  ctx.log.info(event, { request: request.id, endpoint: endpoint.id, ...fields });
}

function countAsked({ ctx, service }: Work, what: AskName): void {
  ctx.metrics.count('endpoint_asks_total', { service: service.id, what });
}

function noteRest(work: Work, target: EndpointState, restMs: number): void {
  countAsked(work, 'rest');
  work.ctx.endpoints.noteRest(target, restMs);
  logAsked(work, target, 'endpoint.resting', { restMs });
}

/** An endpoint may announce in an answer that it is draining seconds before the list does. */
function noteLeaving(work: Work, target: EndpointState): void {
  const { ctx } = work;
  const { id, startedAtMs } = target.endpoint;
  countAsked(work, 'leaving');
  if (!ctx.state.noteLeaving(target.endpoint)) return;
  logAsked(work, target, 'endpoint.leaving', { source: 'answer' });
  ctx.tellLeaving({ endpoint: id, startedAtMs });
}

function noteLimit(work: Work, target: EndpointState, limitPerS: number): void {
  countAsked(work, 'limit');
  if (work.ctx.limits.noteNamed(target.endpoint, limitPerS))
    logAsked(work, target, 'endpoint.limited', { limitPerS });
}

/** Ends a limit unless the answer is older than it. */
function noteUnlimited(work: Work, target: EndpointState, sentAtMs: number): void {
  const { limits } = work.ctx;
  if (limits.isEmpty || !limits.noteUnnamed(target.endpoint, sentAtMs)) return;
  logAsked(work, target, 'endpoint.unlimited', {});
}

/**
 * Notes what the head of an answer asks for, to a request that was sent at a time.
 * @example noteAsks(work, target, head, sentAtMs);
 */
export function noteAsks(
  work: Work,
  target: EndpointState,
  head: AnswerHead,
  sentAtMs: number,
): void {
  // 421: the address now belongs to another endpoint, whose headers must be ignored.
  if (head.status === MISDIRECTED) return;
  const { restMs, isLeaving, limitPerS } = head.asks;
  noteUnreadable(work, target, head.asks);
  if (restMs !== undefined) noteRest(work, target, restMs);
  if (isLeaving) noteLeaving(work, target);
  if (limitPerS !== undefined) noteLimit(work, target, limitPerS);
  else noteUnlimited(work, target, sentAtMs);
}

/**
 * Takes the endpoints that told another entry that they leave; whether any of it was new.
 * @example if (takeLeaving(ctx, news)) relay.noteLearnt();
 */
export function takeLeaving(
  { state, log }: Pick<GatewayContext, 'state' | 'log'>,
  { from, leaving }: Pick<AskNews, 'from' | 'leaving'>,
): boolean {
  const isNew = leaving.map(({ endpoint, startedAtMs }) => {
    const isNews = state.noteLeaving({ id: asId(endpoint), startedAtMs });
    if (isNews) log.info('endpoint.leaving', { endpoint, source: from });
    return isNews;
  });
  return isNew.includes(true);
}
