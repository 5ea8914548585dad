/** One request on its way: what has become of it so far, and what may still be done. */
import type { Opening } from '../core/backpressure/index.js';
import type { EndpointId } from '../core/ids/index.js';
import {
  BUSY_RETRY_S,
  FINAL_ANSWER_MS,
  MIN_ATTEMPT_MS,
  OUTAGE_RETRY_S,
  REST_RETRY_SPREAD_S,
} from './consts.js';
import type { GatewayContext } from './context.js';
import type { EndpointState } from './endpoints.js';
import type { Refusal } from './refuse.js';
import type { StreamProgress } from './relay-stream.js';
import type { GroupTurns } from './service-groups.js';
import type { ServiceState } from './service-state.js';
import type { AttemptFault, GatewayRequest } from './types.js';

const MS_PER_S = 1000;

/** Faults that prove that the request has not run. */
const NOT_RUN: ReadonlySet<AttemptFault['kind']> = new Set(['not-run', 'resting']);

/** What became of one request, for its log line. */
export interface RequestNote {
  service: string;
  /** Endpoints tried, in order, with what came of each. */
  tries: string[];
  queuedMs: number;
  /** Whether its caller has been refused before. */
  isReturning: boolean;
  firstMs: number | undefined;
  longestPauseMs: number | undefined;
  events: number;
}

/** How a request ended: with an answer on its way, without a caller, or with a refusal to be written. */
export type RequestEnd =
  | { readonly kind: 'answered'; readonly status: number }
  | { readonly kind: 'gone' }
  /** The caller has part of a stream and its connection is closed, so that it cannot look whole. */
  | { readonly kind: 'cut'; readonly detail: string }
  | { readonly kind: 'refused'; readonly refusal: Refusal };

/** One request on its way. */
export interface Work {
  readonly ctx: GatewayContext;
  readonly request: GatewayRequest;
  readonly service: ServiceState;
  readonly note: RequestNote;
  readonly tried: Set<EndpointId>;
  readonly progress: StreamProgress;
  /** Whether any attempt may have run. */
  mayHaveRun: boolean;
  lastFault: AttemptFault | undefined;
  /** Whether a token of a rate limit was denied to it. */
  isRateLimited: boolean;
  /** The group where this request holds a place. */
  place: GroupTurns | undefined;
}

/** Time for which a request may still be held, ms, with room for its last answer. */
export function leftMs(work: Work): number {
  return work.request.leftMs() - FINAL_ANSWER_MS;
}

/** A time to come back, s, anywhere in a range: those who were refused together are spread. */
export function retryS(
  ctx: GatewayContext,
  range: typeof BUSY_RETRY_S | typeof OUTAGE_RETRY_S,
): number {
  return range.least + ctx.random() * (range.most - range.least);
}

/** Whether another attempt is allowed after what has happened so far. */
export function mayTryAgain(work: Work): boolean {
  const { route } = work.request;
  if (work.tried.size >= route.maxAttempts || leftMs(work) < MIN_ATTEMPT_MS) return false;
  if (!work.mayHaveRun) return true;
  if (route.kind === 'once') return false;
  return route.kind === 'repeatable' || route.resumable;
}

/** Whether the shared budget still pays for another attempt. */
export function hasBudget(work: Work): boolean {
  const has = work.service.budget.canWithdraw();
  if (!has) work.ctx.metrics.count('retries_denied_total', { service: work.service.id });
  return has;
}

/** The end of a request that was refused. */
export function refused(
  reason: Refusal['reason'],
  detail: string,
  retryAfterS?: number,
  close = false,
): RequestEnd {
  return { kind: 'refused', refusal: { reason, detail, retryAfterS, close } };
}

/**
 * The answer while no endpoint may be asked for what they asked for themselves. Those who rest name the time at which the first
 * of them ends, and callers are spread behind it; of a limit others than this entry may have something left.
 */
function refuseAsked(work: Work, opening: Opening): RequestEnd {
  const { ctx } = work;
  const untilS = ctx.endpoints.untilMs(opening) / MS_PER_S;
  if (opening.why === 'limit')
    return refused('limited', limitDetail(work, untilS), retryS(ctx, BUSY_RETRY_S));
  const detail = `all endpoints asked for rest or named limits, the first may be asked in ${untilS.toFixed(2)} s`;
  return refused('resting', detail, untilS + ctx.random() * REST_RETRY_SPREAD_S);
}

function limitDetail({ ctx, service }: Work, untilS: number): string {
  const count = [...ctx.state.workingOf(service.id)].length;
  const reached = `rate limit reached on all ${count} endpoints of service "${service.id}"`;
  if (untilS === Number.POSITIVE_INFINITY) return `${reached}; other entries have the tokens`;
  return `${reached}; next token in ${untilS.toFixed(2)} s`;
}

/** The final answer when no attempt is left. */
export function giveUp(work: Work): RequestEnd {
  const detail = work.lastFault?.detail ?? 'no endpoint takes work';
  if (work.progress.events > 0) return { kind: 'cut', detail };
  if (work.mayHaveRun) {
    const reason = work.lastFault?.kind === 'silent' ? 'time-over' : 'answer-lost';
    return { kind: 'refused', refusal: { reason, detail } };
  }
  // It may come back: unnoted, it would be taken for a fresh caller that waits less than others.
  work.service.groups?.callers.noteRefused(work.ctx.ageClock.nowMs());
  const opening = work.ctx.endpoints.firstOpening(work.service.id);
  if (opening?.why) return refuseAsked(work, opening);
  if (opening && work.isRateLimited) return refuseAsked(work, { ...opening, why: 'limit' });
  const reason = work.tried.size === 0 ? 'no-endpoint' : 'not-run';
  // What no endpoint of a group took will hardly be taken by one a moment later.
  const retryAfterS = retryS(work.ctx, work.service.groups ? OUTAGE_RETRY_S : BUSY_RETRY_S);
  return { kind: 'refused', refusal: { reason, detail, retryAfterS } };
}

/** Notes an attempt that brought no answer. */
export function noteFault(work: Work, target: EndpointState, fault: AttemptFault): void {
  work.lastFault = fault;
  if (!NOT_RUN.has(fault.kind)) work.mayHaveRun = true;
  work.note.tries.push(`${target.endpoint.id}:${fault.kind}`);
  // What was given up by the caller or by us says nothing of the endpoint.
  if (work.request.gone.aborted || fault.kind === 'slow') return;
  // One that asks for rest lives, and what it asks for says when it may be asked again.
  if (fault.kind !== 'resting') {
    work.place?.turns.outage.noteBad(work.ctx.ageClock.nowMs());
    work.ctx.endpoints.noteBad(target, fault.detail);
  }
  work.ctx.metrics.count('attempt_faults_total', { service: work.service.id, kind: fault.kind });
  work.ctx.log.info('attempt.fault', {
    request: work.request.id,
    endpoint: target.endpoint.id,
    kind: fault.kind,
    detail: fault.detail,
    running: target.running,
  });
}
