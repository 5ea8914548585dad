/**
 * Checks published configuration documents. The result depends on the document alone, not on
 * earlier versions, so every daemon reaches the same result.
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
 * Serializes a value to JSON with sorted keys and no whitespace; equal values give equal text.
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
 * Returns the SHA-256 of a body's canonical JSON, in hex.
 * @example bodyDigest(doc.body) === doc.digest
 */
export function bodyDigest(body: unknown): string {
  return hash('sha256', canonicalJson(body), 'hex');
}

/**
 * Returns the SHA-256 of a bearer key, in hex. Keys are published only as hashes.
 * @example keyHash('secret').length // 64
 */
export function keyHash(key: string): string {
  return hash('sha256', key, 'hex');
}

function duplicateErrors(kind: string, ids: readonly string[]): string[] {
  const seen = new Set<string>();
  const duplicates = new Set<string>();
  for (const id of ids) (seen.has(id) ? duplicates : seen).add(id);
  return [...duplicates].map((id) => `${kind} "${id}" stands twice; keep one`);
}

function groupErrors(body: ConfigurationBody): string[] {
  const errors: string[] = [];
  for (const group of body.groups) {
    const slots = group.slotsPerRank * group.endpoints.length;
    if (slots >= group.experts) continue;
    errors.push(
      `group "${group.id}" has ${slots} slots for ${group.experts} experts; raise slotsPerRank`,
    );
  }
  return errors;
}

function serviceErrors(body: ConfigurationBody): string[] {
  return body.services.flatMap((service) =>
    duplicateErrors(`endpoint of service "${service.id}"`, service.endpoints),
  );
}

/**
 * Lists errors in a body that a JSON schema cannot express.
 * @example bodyErrors(body) // ['organisation "rwandair" stands twice; keep one']
 */
export function bodyErrors(body: ConfigurationBody): string[] {
  return [
    ...duplicateErrors(
      'organisation',
      body.organisations.map((o) => o.id),
    ),
    ...duplicateErrors(
      'key hash',
      body.organisations.map((o) => o.keySha256),
    ),
    ...duplicateErrors(
      'model',
      body.models.map((m) => m.id),
    ),
    ...duplicateErrors(
      'service',
      body.services.map((s) => s.id),
    ),
    ...duplicateErrors(
      'group',
      body.groups.map((g) => g.id),
    ),
    ...duplicateErrors(
      'event',
      (body.events ?? []).map((e) => e.id),
    ),
    ...groupErrors(body),
    ...serviceErrors(body),
  ];
}

/**
 * Checks a document's schema, digest, base version and content. A `basedOn` other than
 * `version - 1` means that another author published a version in between.
 * @example checkDocument(await res.json()).err // true when basedOn is not version - 1
 */
export function checkDocument(data: unknown): Result<ConfigurationDocument, HarriergladeError> {
  // The schema has no defaults: a validator that filled them in would change the digest of a
  // document that is passed on to peers.
  const digest = bodyDigest((data as { body?: unknown } | null)?.body);
  const shapeErrors = validationErrors(validateDocument, data, () => []);
  if (shapeErrors.length > 0)
    return Err(notRun('document-invalid', `${shapeErrors.slice(0, 10).join('; ')}.`));
  const doc = data as ConfigurationDocument;
  if (digest !== doc.digest)
    return Err(
      notRun('document-digest', `The body of version ${doc.version} has digest ${digest}.`),
    );
  if (doc.basedOn !== doc.version - 1) {
    return Err(
      notRun(
        'document-raced',
        `Version ${doc.version} is based on ${doc.basedOn} instead of ${doc.version - 1}.`,
      ),
    );
  }
  const contentErrors = bodyErrors(doc.body);
  if (contentErrors.length > 0)
    return Err(notRun('document-invalid', `${contentErrors.slice(0, 10).join('; ')}.`));
  return Ok(doc);
}
