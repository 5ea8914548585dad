/** Serves one request: its turn, its attempts, its one final answer. */
import type { EndpointId } from '../core/ids/index.js';
import { pickService, type ServiceId } from '../core/published/index.js';
import { turnTerms } from '../core/limits/index.js';
import type { RetryBudget } from '../core/retry/index.js';
import { sendAttempt, type Answer } from './attempt.js';
import {
  BUSY_RETRY_S,
  DEFAULT_DEADLINE_MS,
  ELSEWHERE_RETRY_S,
  FINAL_ANSWER_MS,
  LEAST_ATTEMPT_MS,
  OUTAGE_RETRY_S,
  SILENCE_FACTOR,
  STREAM_SILENCE_MS,
} from './consts.js';
import type { GatewayContext } from './context.js';
import type { EndpointState } from './endpoints.js';
import type { Refusal } from './refuse.js';
import { relayStream, type StreamEnd, type StreamProgress } from './relay-stream.js';
import { readWhole } from './relay-whole.js';
import type { GroupTurns, ServiceGroups } from './service-groups.js';
import type { AttemptFault, GatewayRequest } from './types.js';

/** What is kept of one service at this entry. */
export interface ServiceState {
  readonly id: ServiceId;
  readonly budget: RetryBudget;
  /** Groups with their turns and limits; undefined for services whose endpoints do not run in lock-step. */
  readonly groups: ServiceGroups | undefined;
}

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
interface Work {
  readonly ctx: GatewayContext;
  readonly request: GatewayRequest;
  readonly service: ServiceState;
  readonly note: RequestNote;
  readonly tried: Set<EndpointId>;
  readonly progress: StreamProgress;
  /** Whether any attempt may have run. */
  mayHaveRun: boolean;
  lastFault: AttemptFault | undefined;
  /** The group where this request holds a place. */
  place: GroupTurns | undefined;
}

function leftMs(work: Work): number {
  return work.request.leftMs() - FINAL_ANSWER_MS;
}

/** A time to come back, s, anywhere in a range: those who were refused together are spread. */
function retryS(ctx: GatewayContext, range: typeof BUSY_RETRY_S | typeof OUTAGE_RETRY_S): number {
  return range.least + ctx.random() * (range.most - range.least);
}

/** Whether another attempt is allowed after what has happened so far. */
function mayTryAgain(work: Work): boolean {
  const { route } = work.request;
  if (work.tried.size >= route.maxAttempts || leftMs(work) < LEAST_ATTEMPT_MS) return false;
  if (!work.mayHaveRun) return true;
  if (route.kind === 'once') return false;
  return route.kind === 'repeatable' || route.resumable;
}

/** Whether the shared budget still pays for another attempt. */
function hasBudget(work: Work): boolean {
  const has = work.service.budget.canWithdraw();
  if (!has) work.ctx.metrics.count('retries_denied_total', { service: work.service.id });
  return has;
}

/** The final answer when no attempt is left. */
function giveUp(work: Work): RequestEnd {
  const detail = work.lastFault?.detail ?? 'no endpoint takes work';
  if (work.progress.events > 0) return { kind: 'cut', detail };
  if (work.mayHaveRun) {
    const reason = work.lastFault?.kind === 'silent' ? 'time-over' : 'answer-lost';
    return { kind: 'refused', refusal: { reason, detail } };
  }
  const reason = work.tried.size === 0 ? 'no-endpoint' : 'not-run';
  // What no endpoint of a group took will hardly be taken by one a moment later.
  const retryAfterS = retryS(work.ctx, work.service.groups ? OUTAGE_RETRY_S : BUSY_RETRY_S);
  return { kind: 'refused', refusal: { reason, detail, retryAfterS } };
}

function noteFault(work: Work, target: EndpointState, fault: AttemptFault): void {
  work.lastFault = fault;
  if (fault.kind !== 'not-run') work.mayHaveRun = true;
  work.note.tries.push(`${target.endpoint.id}:${fault.kind}`);
  // What was given up by the caller or by us says nothing of the endpoint.
  if (work.request.gone.aborted || fault.kind === 'slow') return;
  work.place?.turns.outage.noteBad(work.ctx.ageClock.nowMs());
  work.ctx.endpoints.noteBad(target, fault.detail);
  work.ctx.metrics.count('attempt_faults_total', { service: work.service.id, kind: fault.kind });
  work.ctx.log.info('attempt.fault', {
    request: work.request.id,
    endpoint: target.endpoint.id,
    kind: fault.kind,
    detail: fault.detail,
    running: target.running,
  });
}

/** Time that the head of an answer may take, ms. */
function silenceMs(work: Work): number {
  const { route } = work.request;
  const left = leftMs(work);
  if (route.kind === 'once') return left;
  if (route.kind === 'stream') return Math.min(left, STREAM_SILENCE_MS);
  // The last attempt may use all the time that is left.
  const isLast = work.tried.size >= route.maxAttempts;
  return isLast ? left : Math.min(left, route.targetMs * SILENCE_FACTOR);
}

/** Statuses that promise that a request has not run. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);
const LEAST_FAILURE = 500;

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
  if (status >= LEAST_FAILURE || NOT_RUN_STATUSES.has(status)) {
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
        ctx.endpoints.isSlow(target) && mayTryAgain(work) && service.budget.canWithdraw(),
      onFirst: () => {
        const nowMs = ctx.clock.nowMs();
        work.note.firstMs ??= nowMs - request.arrivedAtMs;
        ctx.endpoints.noteGood(target, nowMs - sentAtMs);
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

/** One attempt; undefined when another one may follow. */
async function tryOnce(work: Work, target: EndpointState): Promise<RequestEnd | undefined> {
  const { ctx, request, progress } = work;
  work.tried.add(target.endpoint.id);
  const eventsBefore = progress.events;
  const sentAtMs = ctx.clock.nowMs();
  ctx.endpoints.noteSent(target);
  try {
    const sent = await sendAttempt({
      callers: ctx.callers,
      request,
      target,
      leftMs: leftMs(work),
      resumeAfter: progress.lastId,
      silenceMs: silenceMs(work),
    });
    if (sent.err) {
      noteFault(work, target, sent.val);
      await ctx.crashes.noteFault(request, target.endpoint, sent.val);
      return undefined;
    }
    const end = await deliver(work, target, sent.val, sentAtMs);
    if (end?.kind === 'answered' && end.status < LEAST_FAILURE) ctx.crashes.noteGoodEnd(request);
    // What has brought events was running well: another request that had just begun is to be suspected.
    const hasBegun = progress.events > eventsBefore || request.route.kind !== 'stream';
    if (!end && work.lastFault && !hasBegun)
      await ctx.crashes.noteFault(request, target.endpoint, work.lastFault);
    return end;
  } finally {
    ctx.endpoints.noteEnded(target);
  }
}

/** Passes an answer on whose head has come. */
async function deliver(
  work: Work,
  target: EndpointState,
  answer: Answer,
  sentAtMs: number,
): Promise<RequestEnd | undefined> {
  const { ctx, request } = work;
  if (request.route.kind === 'stream') return deliverStream(work, target, answer, sentAtMs);
  const end = await deliverWhole(work, target, answer);
  if (end?.kind === 'answered' && end.status < LEAST_FAILURE)
    ctx.endpoints.noteGood(target, ctx.clock.nowMs() - sentAtMs);
  return end;
}

/** The best endpoint for the next attempt, in the group where the request has its place. */
function chooseEndpoint(work: Work): EndpointState | undefined {
  const { ctx, place, service, tried } = work;
  if (!place) return ctx.endpoints.choose(service.id, tried);
  return ctx.endpoints.choose(
    service.id,
    tried,
    (endpoint) => service.groups?.isIn(endpoint, place.id) ?? true,
  );
}

/**
 * After a fault goes on in another group, where one serves: ranks of one group fail together. A caller that
 * has part of its stream would lose it, and goes on whether there is room or not.
 */
function changeGroup(work: Work): void {
  const { ctx, place, service, tried } = work;
  const next = place && service.groups?.choose(tried, place.id);
  if (!place || !next || next.turns.outage.isOut(ctx.ageClock.nowMs())) return;
  if (!next.turns.queue.takeNow(work.progress.events > 0)) return;
  place.turns.queue.release();
  work.place = next;
}

/** The answer to a request that crashes what runs it; whether one of these was in this try is not hidden. */
function refuseCrashing(work: Work): RequestEnd {
  if (work.mayHaveRun) return giveUp(work);
  return refused('crashes-endpoints', 'endpoints that began to run the same request crashed');
}

async function runAttempts(work: Work): Promise<RequestEnd> {
  const { ctx, request, service } = work;
  service.budget.deposit();
  for (;;) {
    if (ctx.crashes.isRefused(request)) return refuseCrashing(work);
    const target = chooseEndpoint(work);
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

function refused(
  reason: Refusal['reason'],
  detail: string,
  retryAfterS?: number,
  close = false,
): RequestEnd {
  return { kind: 'refused', refusal: { reason, detail, retryAfterS, close } };
}

/**
 * Serves a request whose route and organisation are known.
 * @example const end = await serveRequest(ctx, request, note);
 */
export async function serveRequest(
  ctx: GatewayContext,
  request: GatewayRequest,
  note: RequestNote,
): Promise<RequestEnd> {
  const id = pickService(request.route, ctx.random);
  if (id === undefined) return refused('no-endpoint', 'the route names no service', 1);
  const service = ctx.serviceOf(id);
  note.service = id;
  const work: Work = {
    ctx,
    request,
    service,
    note,
    tried: new Set(),
    progress: { lastId: request.head.resumeAfter, events: 0, lastAtMs: 0, longestPauseMs: 0 },
    mayHaveRun: false,
    lastFault: undefined,
    place: undefined,
  };
  // It would wait for a place, and one who can be served would not get it.
  if (ctx.crashes.isRefused(request)) return refuseCrashing(work);
  if (!service.groups) return runAttempts(work);
  const refusal = await takeTurn(work, service.groups);
  if (refusal) return refusal;
  try {
    return await runAttempts(work);
  } finally {
    work.place?.turns.queue.release();
    note.events = work.progress.events;
    note.longestPauseMs = work.progress.longestPauseMs;
  }
}

/** Takes one of this entry's places at a group; its end when there is none in time, or no group serves. */
async function takeTurn(work: Work, groups: ServiceGroups): Promise<RequestEnd | undefined> {
  const { ctx, request, note } = work;
  const chosen = groups.choose(work.tried);
  if (!chosen) return giveUp(work);
  const { turns } = chosen;
  const { route, gone } = request;
  if (route.gapMs !== undefined) turns.allowPauses(route.gapMs);
  const askedAtMs = ctx.ageClock.nowMs();
  const waitsMs = request.head.deadlineMs ?? DEFAULT_DEADLINE_MS;
  const isReturning = groups.callers.isReturning(route.id, waitsMs, askedAtMs);
  note.isReturning = isReturning;
  if (turns.outage.refuses(askedAtMs)) {
    groups.callers.noteRefused(askedAtMs);
    return refused('outage', 'no endpoint of the service serves', retryS(ctx, OUTAGE_RETRY_S));
  }
  const priority = request.organisation?.priority ?? route.priority;
  const terms = turnTerms({
    isReturning,
    priority,
    targetMs: route.targetMs,
    leftMs: leftMs(work),
  });
  const got = await turns.queue.take(terms.order, terms.waitMs, gone);
  note.queuedMs = ctx.ageClock.nowMs() - askedAtMs;
  if (got) {
    work.place = chosen;
    return undefined;
  }
  if (gone.aborted) return { kind: 'gone' };
  groups.callers.noteRefused(ctx.ageClock.nowMs());
  return refused('busy', turns.describe(), retryS(ctx, BUSY_RETRY_S));
}
