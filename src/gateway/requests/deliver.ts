/** Forwards the response of one attempt to the caller. */
import type { AttemptResponse } from './attempt.js';
import { STREAM_IDLE_TIMEOUT_MS } from '../consts.js';
import type { EndpointState } from '../endpoints/endpoint-state.js';
import { claimContinuation, claimRetry } from './claim-retry.js';
import { relayStream, type StreamOutcome } from './relay-stream.js';
import { readFullResponse } from './read-response.js';
import {
  remainingMs,
  recordFault,
  refuseWith,
  type RequestOutcome,
  type ActiveRequest,
} from './active-request.js';

/** Statuses by which a caller may conclude that the request has not run. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);
/** Lowest status that means a failure of the endpoint. */
export const MIN_SERVER_ERROR_STATUS = 500;
/** Events of an attempt after which its request is not what crashes the endpoint. */
export const BEGUN_EVENTS = 3;

async function deliverBuffered(
  active: ActiveRequest,
  target: EndpointState,
  response: AttemptResponse,
): Promise<RequestOutcome | undefined> {
  const { request, writer } = active;
  const { status } = response.head;
  const body = await readFullResponse(response, remainingMs(active), (bytes) => writer.hold(bytes));
  if (body.err) {
    if (body.val.kind === 'over-budget') return responseOverBudget(active, target);
    writer.discard();
    recordFault(active, target, body.val);
    return undefined;
  }
  // After the first event the caller has the head of the stream, and cannot get another one.
  const hasHead = active.progress.events > 0;
  if (hasHead || status >= MIN_SERVER_ERROR_STATUS || NOT_RUN_STATUSES.has(status)) {
    recordFault(active, target, { kind: 'broke', detail: `endpoint answered ${status}` });
    // A status that wrongly claims "not run" is never forwarded; others are after the last attempt.
    if (hasHead || NOT_RUN_STATUSES.has(status) || claimRetry(active)) {
      writer.discard();
      return undefined;
    }
  } else {
    active.summary.tries.push(`${target.endpoint.id}:${status}`);
  }
  if (request.res.destroyed) return { kind: 'gone' };
  writer.writeWhole(status, response.head.headers, body.val);
  return { kind: 'answered', status };
}

/** The request has run, and its response cannot be kept: the outcome is unknown to the caller. */
function responseOverBudget(active: ActiveRequest, target: EndpointState): RequestOutcome {
  active.summary.tries.push(`${target.endpoint.id}:over-budget`);
  return refuseWith('answer-lost', 'the response did not fit into the memory of this entry');
}

async function deliverStream(
  active: ActiveRequest,
  target: EndpointState,
  response: AttemptResponse,
  sentAtMs: number,
): Promise<RequestOutcome | undefined> {
  const { ctx, request, progress, writer } = active;
  const { status } = response.head;
  if (status < 200 || status >= 300) return deliverBuffered(active, target, response);
  const eventsBefore = progress.events;
  const outcome: StreamOutcome = await relayStream(
    {
      writer,
      progress,
      nowMs: () => ctx.clock.nowMs(),
      idleTimeoutMs: STREAM_IDLE_TIMEOUT_MS,
      remainingMs: () => remainingMs(active),
      shouldSwitchEndpoint: () =>
        ctx.endpoints.isSlow(target) &&
        claimContinuation(active, { isSuitable: (other) => !ctx.endpoints.isSlow(other) }),
      mayEnd: () => claimContinuation(active),
      onFirstEvent: () => {
        const nowMs = ctx.clock.nowMs();
        active.summary.firstMs ??= nowMs - request.arrivedAtMs;
        ctx.endpoints.noteSuccess(target, sentAtMs);
        ctx.endpoints.notePromptRead(target, request.id);
        active.group?.slotQueue.outage.noteSuccess();
      },
      onPause: (pauseMs) => {
        active.group?.slotQueue.notePause(pauseMs);
        // Called before the event is counted.
        if (progress.events - eventsBefore === BEGUN_EVENTS - 1)
          ctx.crashes.recordSuccess(request, target.endpoint, sentAtMs);
      },
    },
    response,
  );
  if (outcome.kind === 'whole') {
    active.summary.tries.push(`${target.endpoint.id}:whole`);
    writer.end();
    return { kind: 'answered', status };
  }
  if (request.gone.aborted) return { kind: 'gone' };
  if (outcome.kind === 'over-budget')
    return progress.events > 0
      ? { kind: 'cut', detail: 'the memory of this entry is full' }
      : responseOverBudget(active, target);
  recordFault(active, target, outcome);
  return undefined;
}

/** Forwards a response whose headers have been checked. */
export async function deliverResponse(
  active: ActiveRequest,
  target: EndpointState,
  response: AttemptResponse,
  sentAtMs: number,
): Promise<RequestOutcome | undefined> {
  const { ctx, request } = active;
  if (request.route.kind === 'stream') return deliverStream(active, target, response, sentAtMs);
  const outcome = await deliverBuffered(active, target, response);
  if (outcome?.kind === 'answered' && outcome.status < MIN_SERVER_ERROR_STATUS)
    ctx.endpoints.noteSuccess(target, sentAtMs);
  return outcome;
}
