/**
 * Judges a published configuration document. The verdict on a document's content follows from the
 * document alone, so that every daemon gives the same one whatever it has seen before.
 */
import { hash } from 'node:crypto';
import { Err, Ok, type Result } from '../result/index.js';
import type {
  ConfigurationBody,
  ConfigurationDocument,
} from '../../generated/configuration.types.js';
import validateDocument from '../../generated/configuration.validator.js';
import { HarriergladeError, notRun } from '../errors/index.js';
import { validationErrors } from '../settings/index.js';

/**
 * JSON with sorted keys and no spaces: the same text for equal values.
 * @example canonicalJson({ b: 1, a: 2 }) // '{"a":2,"b":1}'
 */
export function canonicalJson(value: unknown): string {
  if (Array.isArray(value)) return `[${value.map(canonicalJson).join(',')}]`;
  if (typeof value !== 'object' || value === null) return JSON.stringify(value) ?? 'null';
  const pairs = Object.entries(value)
    .filter(([, item]) => item !== undefined)
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .map(([key, item]) => `${JSON.stringify(key)}:${canonicalJson(item)}`);
  return `{${pairs.join(',')}}`;
}

/**
 * SHA-256 of a body's canonical JSON, hex.
 * @example bodyDigest(doc.body) === doc.digest
 */
export function bodyDigest(body: unknown): string {
  return hash('sha256', canonicalJson(body), 'hex');
}

/**
 * SHA-256 of a bearer key, the only form in which keys are published.
 * @example keyHash('secret').length // 64
 */
export function keyHash(key: string): string {
  return hash('sha256', key, 'hex');
}

function repeated(what: string, ids: readonly string[]): string[] {
  const seen = new Set<string>();
  const twice = new Set<string>();
  for (const id of ids) (seen.has(id) ? twice : seen).add(id);
  return [...twice].map((id) => `${what} "${id}" stands twice; keep one`);
}

function groupFaults(body: ConfigurationBody): string[] {
  const faults: string[] = [];
  for (const group of body.groups) {
    const slots = group.slotsPerRank * group.endpoints.length;
    if (slots >= group.experts) continue;
    faults.push(
      `group "${group.id}" has ${slots} slots for ${group.experts} experts; raise slotsPerRank`,
    );
  }
  return faults;
}

function serviceFaults(body: ConfigurationBody): string[] {
  return body.services.flatMap((service) =>
    repeated(`endpoint of service "${service.id}"`, service.endpoints),
  );
}

/**
 * Faults of a body that a schema cannot express.
 * @example bodyFaults(body) // ['organisation "rwandair" stands twice; keep one']
 */
export function bodyErrors(body: ConfigurationBody): string[] {
  return [
    ...repeated(
      'organisation',
      body.organisations.map((o) => o.id),
    ),
    ...repeated(
      'key hash',
      body.organisations.map((o) => o.keySha256),
    ),
    ...repeated(
      'model',
      body.models.map((m) => m.id),
    ),
    ...repeated(
      'service',
      body.services.map((s) => s.id),
    ),
    ...repeated(
      'group',
      body.groups.map((g) => g.id),
    ),
    ...repeated(
      'event',
      (body.events ?? []).map((e) => e.id),
    ),
    ...groupFaults(body),
    ...serviceFaults(body),
  ];
}

/**
 * Judges a document from itself alone: shape, digest, content, and whether its author raced another.
 * @example judgeDocument(await res.json()).err // true when basedOn is not version - 1
 */
export function judgeDocument(data: unknown): Result<ConfigurationDocument, HarriergladeError> {
  // The document's schema has no defaults: what is passed on must keep its digest.
  const digest = bodyDigest((data as { body?: unknown } | null)?.body);
  const faults = validationErrors(validateDocument, data, () => []);
  if (faults.length > 0)
    return Err(notRun('document-invalid', `${faults.slice(0, 10).join('; ')}.`));
  const doc = data as ConfigurationDocument;
  if (digest !== doc.digest)
    return Err(notRun('document-digest', `Version ${doc.version} has digest ${digest}.`));
  if (doc.basedOn !== doc.version - 1) {
    return Err(
      notRun(
        'document-raced',
        `Version ${doc.version} was made from ${doc.basedOn}, not from ${doc.version - 1}.`,
      ),
    );
  }
  const content = bodyErrors(doc.body);
  if (content.length > 0)
    return Err(notRun('document-invalid', `${content.slice(0, 10).join('; ')}.`));
  return Ok(doc);
}
