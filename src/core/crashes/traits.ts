/**
 * Traits of a request that may be the reason why endpoints crash: the request as a whole, each part
 * of its prompt, and its sender.
 */
import { createHash } from 'node:crypto';
import type { Id } from '../ids/index.js';

/** A trait, such as `part:agent-assist:5c1e07a2`. */
export type TraitId = Id<'trait'>;

/** What the traits of a request are derived from. */
export interface RequestContents {
  readonly service: string;
  readonly route: string;
  /** Organisation of the caller; undefined on a public route. */
  readonly organisation: string | undefined;
  readonly path: string;
  /** API key of the caller; empty without one. */
  readonly caller: string;
  readonly body: Buffer;
  /** Ids of the parts of the prompt, in order. */
  readonly promptParts: readonly string[];
}

/** Parts of a prompt that are looked at; bounds the work and the size of messages. */
const MAX_PARTS = 16;
/** Length of a digest: 96 bits make a collision by chance negligible. */
const DIGEST_HEX_DIGITS = 24;
/** Names that are used as they are; others come from callers and are replaced by a digest. */
const PLAIN_NAME = /^[\w.-]{1,32}$/;

const WHOLE = 'request';
const SENDER = 'sender';
const FIRST_PART = 'first-part';
const PART = 'part';

function digestOf(...values: (string | Buffer)[]): string {
  const hash = createHash('sha256');
  for (const value of values) hash.update(value);
  return hash.digest('hex').slice(0, DIGEST_HEX_DIGITS);
}

/** A name as it stands in a trait. */
export function plainName(name: string): string {
  return PLAIN_NAME.test(name) ? name : digestOf(name);
}

function trait(kind: string, ...names: string[]): TraitId {
  return [kind, ...names.map(plainName)].join(':') as TraitId;
}

/**
 * Returns the traits of a request. Hashing a body of 4 KB takes 6 to 8 us, so this is called only
 * while there is evidence of a crash.
 * @example traitsOf(contents) // ['request:9f0c…', 'sender:model:org-1:r-1', 'first-part:model:5c1e07a2', …]
 */
export function traitsOf(contents: RequestContents): TraitId[] {
  const { service, route, organisation, path, caller, body, promptParts } = contents;
  const [first, ...others] = [...new Set(promptParts.slice(0, MAX_PARTS))];
  return [
    trait(WHOLE, digestOf(JSON.stringify([path, caller]), body)),
    ...(organisation === undefined ? [] : [trait(SENDER, service, organisation, route)]),
    ...(first === undefined ? [] : [trait(FIRST_PART, service, first)]),
    ...others.map((part) => trait(PART, service, part)),
  ];
}

/** The kind of a trait, as a metric label. */
export function kindOf(id: TraitId): string {
  return id.slice(0, id.indexOf(':'));
}

/**
 * Describes a trait to the caller.
 * @example describeTrait(id) // 'prompt part "5c1e07a2"'
 */
export function describeTrait(id: TraitId): string {
  const kind = kindOf(id);
  if (kind === WHOLE) return 'path, key and body';
  if (kind === SENDER) return 'organisation and route';
  return `prompt part "${id.slice(id.lastIndexOf(':') + 1)}"`;
}

/** Whether a trait stands for requests that are the same in all but their id. */
export function isWholeRequest(id: TraitId): boolean {
  return kindOf(id) === WHOLE;
}

/**
 * Service of the requests with a trait, as `plainName` gives it; undefined for a whole request.
 * @example serviceOf(id) // 'agent-assist'
 */
export function serviceOf(id: TraitId): string | undefined {
  return isWholeRequest(id) ? undefined : id.split(':')[1];
}

/** Whether a trait stands for the organisation and the route of requests. */
export function isSender(id: TraitId): boolean {
  return kindOf(id) === SENDER;
}

/** Whether sound requests usually share such a trait: they have the same sender or first part. */
export function isSharedKind(id: TraitId): boolean {
  return isSender(id) || kindOf(id) === FIRST_PART;
}
