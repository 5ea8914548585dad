/** The attempts of one request: which endpoint, for how long, and whether another one follows. */
import { noteAsks } from './asked.js';
import { sendAttempt } from './attempt.js';
import { acquireEndpoint, chooseOtherGroup } from './choose.js';
import { ELSEWHERE_RETRY_S, SILENCE_FACTOR, STREAM_SILENCE_MS } from './consts.js';
import { deliver, MIN_ERROR_STATUS } from './deliver.js';
import type { EndpointState } from './endpoints.js';
import {
  giveUp,
  hasBudget,
  leftMs,
  mayTryAgain,
  noteFault,
  refused,
  type RequestEnd,
  type Work,
} from './work.js';

/** Timeout of the head of an answer, ms. */
function silenceMs(work: Work): number {
  const { route } = work.request;
  const left = leftMs(work);
  if (route.kind === 'once') return left;
  if (route.kind === 'stream') return Math.min(left, STREAM_SILENCE_MS);
  // The last attempt may use all of the remaining time.
  const isLast = work.tried.size >= route.maxAttempts;
  return isLast ? left : Math.min(left, route.targetMs * SILENCE_FACTOR);
}

/** Runs one attempt. Returns undefined if the request may be retried. */
async function tryOnce(work: Work, target: EndpointState): Promise<RequestEnd | undefined> {
  const { ctx, request, progress } = work;
  work.tried.add(target.endpoint.id);
  const eventsBefore = progress.events;
  const sentAtMs = ctx.endpoints.noteSent(target);
  try {
    const sent = await sendAttempt({
      callers: ctx.callers,
      request,
      target,
      leftMs: leftMs(work),
      resumeAfter: progress.lastId,
      silenceMs: silenceMs(work),
      onHead: (head) => noteAsks(work, target, head, sentAtMs),
    });
    if (sent.err) {
      noteFault(work, target, sent.val);
      await ctx.crashes.noteFault(request, target.endpoint, sent.val);
      return undefined;
    }
    const end = await deliver(work, target, sent.val, sentAtMs);
    if (end?.kind === 'answered' && end.status < MIN_ERROR_STATUS) ctx.crashes.noteGoodEnd(request);
    // What has brought events was running well: another request that had just begun is to be suspected.
    const hasBegun = progress.events > eventsBefore || request.route.kind !== 'stream';
    if (!end && work.lastFault && !hasBegun)
      await ctx.crashes.noteFault(request, target.endpoint, work.lastFault);
    return end;
  } finally {
    ctx.endpoints.noteEnded(target, sentAtMs);
  }
}

/**
 * After a fault goes on in another group, where one serves: ranks of one group fail together. A caller that
 * has part of its stream would lose it, and goes on whether there is room or not.
 */
function changeGroup(work: Work): void {
  const { place } = work;
  const next = chooseOtherGroup(work);
  if (!place || !next) return;
  if (!next.turns.queue.takeNow(work.progress.events > 0)) return;
  place.turns.queue.release();
  work.place = next;
}

/** The refusal of a request that crashes endpoints; it does not claim "not run" if an attempt may have run. */
export function refuseCrashing(work: Work): RequestEnd {
  if (work.mayHaveRun) return giveUp(work);
  return refused('crashes-endpoints', 'endpoints that began to run the same request crashed');
}

/**
 * Tries one endpoint after the other, as far as the route and the budget of retries allow.
 * @example const end = await runAttempts(work);
 */
export async function runAttempts(work: Work): Promise<RequestEnd> {
  const { ctx, request, service } = work;
  service.budget.deposit();
  for (;;) {
    if (ctx.crashes.isRefused(request)) return refuseCrashing(work);
    const target = await acquireEndpoint(work);
    if (request.gone.aborted) return { kind: 'gone' };
    if (!target) return giveUp(work);
    if (!request.route.isPublic && !ctx.keysProved()) {
      // The wait for a turn or an earlier attempt may have outlasted the proof.
      if (work.mayHaveRun) return giveUp(work);
      return refused(
        'proof-old',
        'the proof lapsed before the request was sent',
        ELSEWHERE_RETRY_S,
      );
    }
    const end = await tryOnce(work, target);
    if (end) return end;
    if (request.gone.aborted) return { kind: 'gone' };
    if (!mayTryAgain(work)) return giveUp(work);
    if (!hasBudget(work)) return giveUp(work);
    service.budget.withdraw();
    changeGroup(work);
    ctx.metrics.count('retries_total', {
      service: service.id,
      reason: work.lastFault?.kind ?? 'none',
    });
  }
}
