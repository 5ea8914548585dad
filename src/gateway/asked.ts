/** Notes what endpoints ask for in their answers. */
import type { AnswerAsks, AskName } from '../core/asks/index.js';
import { asId } from '../core/ids/index.js';
import type { AskNews } from '../generated/messages.types.js';
import type { GatewayContext } from './context.js';
import type { EndpointState } from './endpoints.js';
import type { AnswerHead } from './types.js';
import type { Work } from './work.js';

/** Status by which whatever listens at an address says that it is not the endpoint that was meant. */
const MISDIRECTED = 421;

/** Counts and logs what could not be read. */
function noteUnreadable(work: Work, target: EndpointState, { unreadable }: AnswerAsks): void {
  const { ctx, service, request } = work;
  for (const what of unreadable) {
    ctx.metrics.count('endpoint_asks_unreadable_total', { service: service.id, what });
    ctx.log.info('endpoint.ask-unreadable', {
      request: request.id,
      endpoint: target.endpoint.id,
      what,
    });
  }
}

/** It takes nothing new from now on; that it says so in an answer may come seconds before the list tells. */
function noteLeaving({ ctx, request }: Work, { endpoint }: EndpointState): void {
  if (!ctx.state.noteLeaving(endpoint)) return;
  ctx.log.info('endpoint.leaving', {
    endpoint: endpoint.id,
    source: 'answer',
    request: request.id,
  });
  ctx.tellAsks({ leaving: [{ endpoint: endpoint.id, startedAtMs: endpoint.startedAtMs }] });
}

/**
 * Notes what the head of an answer asks for.
 * @example noteAsks(work, target, head);
 */
export function noteAsks(work: Work, target: EndpointState, head: AnswerHead): void {
  // It is another endpoint that speaks there.
  if (head.status === MISDIRECTED) return;
  const { ctx, service, request } = work;
  const { restMs, isLeaving, limitPerS } = head.asks;
  noteUnreadable(work, target, head.asks);
  if (restMs !== undefined) ctx.endpoints.noteRest(target, restMs);
  if (isLeaving) noteLeaving(work, target);
  const asked: Readonly<Record<AskName, boolean>> = {
    rest: restMs !== undefined,
    leaving: isLeaving,
    limit: limitPerS !== undefined,
  };
  const names = Object.entries(asked).flatMap(([what, isAsked]) => (isAsked ? [what] : []));
  if (names.length === 0) return;
  for (const what of names) ctx.metrics.count('endpoint_asks_total', { service: service.id, what });
  ctx.log.info('endpoint.asked', {
    request: request.id,
    endpoint: target.endpoint.id,
    asked: names.join(),
    restMs,
    limitPerS,
  });
}

/**
 * Takes what endpoints asked another entry for; whether any of it was new.
 * @example if (takeAsks(ctx, news)) relay.noteLearnt();
 */
export function takeAsks(
  { state, log }: Pick<GatewayContext, 'state' | 'log'>,
  news: AskNews,
): boolean {
  const isNew = news.leaving.map(({ endpoint, startedAtMs }) => {
    const isNews = state.noteLeaving({ id: asId(endpoint), startedAtMs });
    if (isNews) log.info('endpoint.leaving', { endpoint, source: 'entry' });
    return isNews;
  });
  return isNew.includes(true);
}
