/** Admission of one request to a group of lock-step engines: outage, admission queue, refusals. */
import {
  queueTerms,
  returningWaitMs,
  type QueueTerms,
  type ReturnOutcome,
} from '../../core/limits/index.js';
import { BUSY_RETRY_S, DEFAULT_DEADLINE_MS, OUTAGE_RETRY_S } from '../consts.js';
import type { GroupQueue, ServiceGroups } from '../groups/service-groups.js';
import {
  failureOutcome,
  randomRetryAfterS,
  refuseWith,
  remainingMs,
  type ActiveRequest,
  type RequestOutcome,
} from './active-request.js';

const MS_PER_S = 1000;

/**
 * Acquires one of this entry's slots in a group; returns a refusal if none is free in time.
 * @example const refusal = await acquireSlot(active, service.groups);
 */
export async function acquireSlot(
  active: ActiveRequest,
  groups: ServiceGroups,
): Promise<RequestOutcome | undefined> {
  const { ctx, request, summary } = active;
  const group = groups.choose(active.tried);
  if (!group) return failureOutcome(active);
  const { slotQueue } = group;
  const { route } = request;
  if (route.gapMs !== undefined) slotQueue.setAllowedPause(route.gapMs);
  const nowMs = ctx.ageClock.nowMs();
  const deadlineMs = request.head.deadlineMs ?? DEFAULT_DEADLINE_MS;
  summary.isReturning = groups.returningCallers.isReturning(route.id, deadlineMs, nowMs);
  const terms = termsOf(active);
  if (summary.isReturning) slotQueue.returns.noteReturn();
  else slotQueue.returns.noteFirstTry(terms.waitMs);
  const isOutage = slotQueue.outage.isDown(nowMs);
  const isProbe = isOutage && !slotQueue.outage.shouldRefuse(nowMs);
  // A probe must not wait for the end of the outage that it is to detect.
  const longWaitMs = isProbe ? undefined : longWaitOf(active, group);
  if (isOutage && !isProbe && !mayOutlastOutage(group, longWaitMs))
    return refuseForOutage(active, groups);
  const outcome = await waitForSlot(active, group, terms, longWaitMs);
  if (outcome === 'granted') {
    active.group = group;
    return undefined;
  }
  if (request.gone.aborted) return { kind: 'gone' };
  if (slotQueue.outage.isDown(ctx.ageClock.nowMs())) return refuseForOutage(active, groups);
  const returning = summary.isReturning ? `, returning caller ${outcome}` : '';
  return refuseBusy(active, groups, group, slotQueue.describe() + returning);
}

function termsOf(active: ActiveRequest): QueueTerms {
  const { route, organisation } = active.request;
  return queueTerms({
    isReturning: active.summary.isReturning,
    priority: organisation?.priority ?? route.priority,
    targetMs: route.targetMs,
    leftMs: remainingMs(active),
  });
}

/** How long a returning caller may wait, ms; undefined while the hold time of slots is unknown. */
function longWaitOf(active: ActiveRequest, { slotQueue }: GroupQueue): number | undefined {
  const { longStreamMs } = slotQueue.returns;
  if (!active.summary.isReturning || longStreamMs === undefined) return undefined;
  const { kind, targetMs, gapMs: allowedGapMs = 0 } = active.request.route;
  const gapMs = kind === 'stream' ? allowedGapMs : undefined;
  return returningWaitMs({ leftMs: remainingMs(active), targetMs, gapMs, longStreamMs });
}

/** Whether an outage is expected to end early enough for a returning caller. */
function mayOutlastOutage({ slotQueue }: GroupQueue, waitMs: number | undefined): boolean {
  return waitMs !== undefined && slotQueue.returns.expectedSlots(waitMs) > 0;
}

/** Waits in the admission queue of a group. */
async function waitForSlot(
  active: ActiveRequest,
  group: GroupQueue,
  terms: QueueTerms,
  longWaitMs: number | undefined,
): Promise<ReturnOutcome> {
  const { ctx, summary } = active;
  const queuedAtMs = ctx.ageClock.nowMs();
  const outcome =
    longWaitMs === undefined
      ? await waitShortly(active, group, terms)
      : await waitReturning(active, group, { order: terms.order, waitMs: longWaitMs });
  summary.queuedMs = ctx.ageClock.nowMs() - queuedAtMs;
  if (outcome !== 'granted' && !summary.isReturning) group.slotQueue.returns.noteRefusedFirstTry();
  return outcome;
}

async function waitShortly(
  { request }: ActiveRequest,
  { slotQueue }: GroupQueue,
  { order, waitMs }: QueueTerms,
): Promise<ReturnOutcome> {
  return (await slotQueue.queue.acquire(order, waitMs, request.gone)) ? 'granted' : 'too-late';
}

async function waitReturning(
  active: ActiveRequest,
  { slotQueue }: GroupQueue,
  terms: QueueTerms,
): Promise<ReturnOutcome> {
  const { ctx, service, request } = active;
  const outcome = await slotQueue.queue.acquireReturning(terms, request.gone);
  if (outcome !== 'gone') slotQueue.returns.noteReturnEnded(outcome === 'granted');
  ctx.metrics.count('returning_callers_total', { service: service.id, outcome });
  return outcome;
}

function refuseForOutage(active: ActiveRequest, groups: ServiceGroups): RequestOutcome {
  const { ctx } = active;
  groups.returningCallers.recordRefusal(ctx.ageClock.nowMs());
  countSecondRefusal(active, 'outage');
  return refuseWith(
    'outage',
    'no endpoint of the service is available',
    randomRetryAfterS(ctx, OUTAGE_RETRY_S),
  );
}

/** Refuses a request for which the group has no room. */
function refuseBusy(
  active: ActiveRequest,
  groups: ServiceGroups,
  group: GroupQueue,
  detail: string,
): RequestOutcome {
  groups.returningCallers.recordRefusal(active.ctx.ageClock.nowMs());
  countSecondRefusal(active, 'busy');
  return refuseWith('busy', detail, retryAfterS(active, group));
}

/** Retry-After by the group's return schedule; the usual range for a returning caller, which does not return again. */
function retryAfterS(active: ActiveRequest, { id, slotQueue }: GroupQueue): number {
  const { ctx, service, summary, request } = active;
  const usualS = (): number => randomRetryAfterS(ctx, BUSY_RETRY_S);
  if (summary.isReturning) return usualS();
  const caller = { leftMs: remainingMs(active), usualMs: () => usualS() * MS_PER_S };
  const planned = slotQueue.returns.planReturn(caller, ctx.random);
  ctx.metrics.count('planned_returns_total', { service: service.id, why: planned.why });
  ctx.log.info('return.planned', {
    request: request.id,
    group: id,
    why: planned.why,
    retryAfterMs: Math.round(planned.retryAfterMs),
    forecastPerS: round(planned.forecastPerS),
    errorPerS: planned.errorPerS === undefined ? undefined : round(planned.errorPerS),
    promised: planned.promised,
    room: round(planned.room),
  });
  return planned.retryAfterMs / MS_PER_S;
}

function round(value: number): number {
  return Math.round(value * 10) / 10;
}

function countSecondRefusal(
  { ctx, service, summary }: ActiveRequest,
  reason: 'busy' | 'outage',
): void {
  if (summary.isReturning)
    ctx.metrics.count('second_refusals_total', { service: service.id, reason });
}
