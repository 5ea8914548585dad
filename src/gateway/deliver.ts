/** Passes the answer to one attempt on to the caller. */
import type { Answer } from './attempt.js';
import { hasElsewhere } from './choose.js';
import { STREAM_SILENCE_MS } from './consts.js';
import type { EndpointState } from './endpoints.js';
import { relayStream, type StreamEnd } from './relay-stream.js';
import { readWhole } from './relay-whole.js';
import { hasBudget, leftMs, mayTryAgain, noteFault, type RequestEnd, type Work } from './work.js';

/** Statuses that promise that a request has not run. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);
/** Least status by which an endpoint says that it failed. */
export const MIN_ERROR_STATUS = 500;

async function deliverWhole(
  work: Work,
  target: EndpointState,
  answer: Answer,
): Promise<RequestEnd | undefined> {
  const { request } = work;
  const { status } = answer.head;
  const body = await readWhole(answer, leftMs(work));
  if (body.err) {
    noteFault(work, target, body.val);
    return undefined;
  }
  if (status >= MIN_ERROR_STATUS || NOT_RUN_STATUSES.has(status)) {
    noteFault(work, target, { kind: 'broke', detail: `endpoint answered ${status}` });
    // A status that promises too much is not passed on; any other failure is, when no try is left.
    if (NOT_RUN_STATUSES.has(status)) return undefined;
    if (mayTryAgain(work) && hasBudget(work)) return undefined;
  } else {
    work.note.tries.push(`${target.endpoint.id}:${status}`);
  }
  if (request.res.destroyed) return { kind: 'gone' };
  request.res.writeHead(status, { ...answer.head.headers, 'content-length': body.val.length });
  request.res.end(body.val);
  return { kind: 'answered', status };
}

async function deliverStream(
  work: Work,
  target: EndpointState,
  answer: Answer,
  sentAtMs: number,
): Promise<RequestEnd | undefined> {
  const { ctx, request, progress, service } = work;
  const { status } = answer.head;
  if (status < 200 || status >= 300) return deliverWhole(work, target, answer);
  const end: StreamEnd = await relayStream(
    {
      res: request.res,
      progress,
      nowMs: () => ctx.clock.nowMs(),
      silenceMs: STREAM_SILENCE_MS,
      leftMs: () => leftMs(work),
      shouldMove: () =>
        ctx.endpoints.isSlow(target) &&
        mayTryAgain(work) &&
        service.budget.canWithdraw() &&
        hasElsewhere(work),
      onFirst: () => {
        const nowMs = ctx.clock.nowMs();
        work.note.firstMs ??= nowMs - request.arrivedAtMs;
        ctx.endpoints.noteGood(target, sentAtMs);
        work.place?.turns.outage.noteGood();
      },
      onPause: (pauseMs) => work.place?.turns.notePause(pauseMs),
    },
    answer,
  );
  if (end.kind === 'whole') {
    work.note.tries.push(`${target.endpoint.id}:whole`);
    request.res.end();
    return { kind: 'answered', status };
  }
  if (request.gone.aborted) return { kind: 'gone' };
  noteFault(work, target, end);
  return undefined;
}

/** Passes an answer on whose head has come. */
export async function deliver(
  work: Work,
  target: EndpointState,
  answer: Answer,
  sentAtMs: number,
): Promise<RequestEnd | undefined> {
  const { ctx, request } = work;
  if (request.route.kind === 'stream') return deliverStream(work, target, answer, sentAtMs);
  const end = await deliverWhole(work, target, answer);
  if (end?.kind === 'answered' && end.status < MIN_ERROR_STATUS)
    ctx.endpoints.noteGood(target, sentAtMs);
  return end;
}
