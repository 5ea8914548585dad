/** Confirms a plan: only while it still rests on the version in force. */
import { bodyDigest, bodyErrors } from '../config-feed/index.js';
import { notRun, type HarriergladeError } from '../errors/index.js';
import { Err, Ok, type Result } from '../result/index.js';
import type { ConfigurationDocument, EventPlan, Publication } from './types.js';

/**
 * Top-level parts of the body that differ between two documents.
 * @example changedParts(planned.body, latest.body) // ['organisations']
 */
export function changedParts(
  before: ConfigurationDocument['body'],
  after: ConfigurationDocument['body'],
): string[] {
  const names = [
    ...new Set([...Object.keys(before), ...Object.keys(after)]),
  ] as (keyof ConfigurationDocument['body'])[];
  return names.filter(
    (name) => bodyDigest(before[name] ?? null) !== bodyDigest(after[name] ?? null),
  );
}

/**
 * The document to publish for a plan, or why the plan no longer holds.
 * `newest` is the platform's newest version, which may be a refused one above the version in force.
 * @example confirmPlan(plan, doc, doc.version, Date.now()).map((publication) => publication.basedOn)
 */
export function confirmPlan(
  plan: EventPlan,
  doc: ConfigurationDocument,
  newest: number,
  nowMs: number,
): Result<Publication, HarriergladeError> {
  if (plan.base.version !== doc.version || plan.base.digest !== doc.digest) {
    return Err(
      notRun(
        'plan-stale',
        `The plan rests on version ${plan.base.version}, in force is ${doc.version}.`,
      ),
    );
  }
  if (plan.event.startMs <= nowMs)
    return Err(notRun('plan-stale', 'The event has started already.'));
  const others = (doc.body.events ?? []).filter((e) => e.id !== plan.event.id);
  const body = { ...doc.body, events: [...others, plan.event] };
  const faults = bodyErrors(body);
  if (faults.length > 0) return Err(notRun('document-invalid', `${faults.join('; ')}.`));
  return Ok({ basedOn: newest, digest: bodyDigest(body), body });
}
