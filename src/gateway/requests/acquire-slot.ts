/** Admission of one request to a group of lock-step engines: outage, admission queue, refusals. */
import { queueTerms } from '../../core/limits/index.js';
import { urgencyOf } from '../../core/urgency/index.js';
import { BUSY_RETRY_S, DEFAULT_DEADLINE_MS, OUTAGE_RETRY_S } from '../consts.js';
import type { GroupQueue, ServiceGroups } from '../groups/service-groups.js';
import { applyAdmissionLevel } from './admission-step.js';
import {
  failureOutcome,
  randomRetryAfterS,
  refuseWith,
  remainingMs,
  type ActiveRequest,
  type RequestOutcome,
} from './active-request.js';

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
  const { route } = request;
  if (route.gapMs !== undefined) group.slotQueue.setAllowedPause(route.gapMs);
  const nowMs = ctx.ageClock.nowMs();
  const deadlineMs = request.head.deadlineMs ?? DEFAULT_DEADLINE_MS;
  summary.isReturning = groups.returningCallers.isReturning(route.id, deadlineMs, nowMs);
  if (group.slotQueue.outage.shouldRefuse(nowMs)) return refuseForOutage(active, groups);
  const admission = applyAdmissionLevel(active, group);
  if (admission.kind === 'refused') return refuseBusy(active, groups, admission.detail);
  if (admission.kind === 'admitted' || (await waitForSlot(active, group))) {
    active.group = group;
    return undefined;
  }
  if (request.gone.aborted) return { kind: 'gone' };
  return refuseBusy(active, groups, group.slotQueue.describe());
}

/** Waits in the admission queue of a group; false if the request gets no slot in time. */
async function waitForSlot(active: ActiveRequest, { slotQueue }: GroupQueue): Promise<boolean> {
  const { ctx, request, summary } = active;
  const { route, organisation, gone } = request;
  const queuedAtMs = ctx.ageClock.nowMs();
  const terms = queueTerms({
    isReturning: summary.isReturning,
    priority: urgencyOf(organisation?.priority, route.priority),
    targetMs: route.targetMs,
    leftMs: remainingMs(active),
  });
  const hasSlot = await slotQueue.queue.acquire(terms.order, terms.waitMs, gone);
  summary.queuedMs = ctx.ageClock.nowMs() - queuedAtMs;
  return hasSlot;
}

function refuseForOutage(active: ActiveRequest, groups: ServiceGroups): RequestOutcome {
  const { ctx } = active;
  groups.returningCallers.recordRefusal(ctx.ageClock.nowMs());
  return refuseWith(
    'outage',
    'no endpoint of the service is available',
    randomRetryAfterS(ctx, OUTAGE_RETRY_S),
  );
}

/** Refuses a request for which the group has no room. */
function refuseBusy(active: ActiveRequest, groups: ServiceGroups, detail: string): RequestOutcome {
  const { ctx } = active;
  groups.returningCallers.recordRefusal(ctx.ageClock.nowMs());
  return refuseWith('busy', detail, randomRetryAfterS(ctx, BUSY_RETRY_S));
}
