/** Confirms an event plan, only while the version it is based on is in force. */
import { bodyDigest, bodyErrors } from '../config-feed/index.js';
import { notRun, type HarriergladeError } from '../errors/index.js';
import { Err, Ok, type Result } from '../result/index.js';
import type { ConfigurationDocument, EventPlan, Publication } from './types.js';

/**
 * Lists the top-level parts of the body that differ between two documents.
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
 * Returns the document to publish for a plan, or an error when the plan is stale or invalid.
 * `newestVersion` is the platform's newest version; it may be a refused one above the version in
 * force.
 * @example confirmPlan(plan, doc, doc.version, Date.now()).map((publication) => publication.basedOn)
 */
export function confirmPlan(
  plan: EventPlan,
  doc: ConfigurationDocument,
  newestVersion: number,
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
    return Err(notRun('plan-stale', 'The event has already started.'));
  const others = (doc.body.events ?? []).filter((e) => e.id !== plan.event.id);
  const body = { ...doc.body, events: [...others, plan.event] };
  const errors = bodyErrors(body);
  if (errors.length > 0) return Err(notRun('document-invalid', `${errors.join('; ')}.`));
  return Ok({ basedOn: newestVersion, digest: bodyDigest(body), body });
}
