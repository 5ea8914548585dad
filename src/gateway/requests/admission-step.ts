/** Applies the admission level of a group to one request, before it may queue for a slot. */
import { urgencyOf } from '../../core/urgency/index.js';
import type { GroupQueue } from '../groups/service-groups.js';
import type { AdmissionDecision } from '../groups/slot-queue.js';
import type { ActiveRequest } from './active-request.js';

type LevelRefusal = Extract<AdmissionDecision, { kind: 'refused' }>;

/** Outcome of the step; a refusal names the level and what it was computed from. */
export type AdmissionStep =
  { readonly kind: 'admitted' | 'queue' } | { readonly kind: 'refused'; readonly detail: string };

function describeRefusal(urgency: number, { fraction, level, ageMs }: LevelRefusal): string {
  const age = ageMs === undefined ? 'of unknown age' : `${ageMs} ms old`;
  const atCut = level.cut === undefined ? 1 : (level.fractions.get(level.cut) ?? 1);
  return `urgency ${urgency} of this organisation is admitted by ${fraction.toFixed(2)}; admission level: urgency ${level.cut} by ${atCut.toFixed(2)}, group demand ${age}`;
}

/**
 * Decides on a request by its urgency. Returning callers queue behind first tries, and are not counted.
 * @example const step = applyAdmissionLevel(active, group);
 */
export function applyAdmissionLevel(
  { ctx, request, service, summary }: ActiveRequest,
  { slotQueue }: GroupQueue,
): AdmissionStep {
  if (summary.isReturning || !slotQueue.hasUrgencies) return { kind: 'queue' };
  const { organisation, route } = request;
  const urgency = urgencyOf(organisation?.priority, route.priority);
  const decision = slotQueue.admit(urgency, organisation?.id, ctx.random);
  const labels = { service: service.id, urgency: String(urgency) };
  if (decision.kind === 'refused') {
    ctx.metrics.count('urgency_refused_total', labels);
    return {
      kind: 'refused',
      detail: `${describeRefusal(urgency, decision)}; ${slotQueue.describe()}`,
    };
  }
  ctx.metrics.count('urgency_admitted_total', labels);
  return decision;
}
