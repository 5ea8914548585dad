/**
 * Deltas between two versions, so that a relay need not send the full document to every follower
 * on each change. The receiver checks the digest of the rebuilt document and requests the full one
 * on a mismatch, so a bad delta costs one extra message but never a wrong configuration.
 */
import type { ConfigurationDocument } from '../../generated/configuration.types.js';
import type { InstanceList } from '../../generated/instances.types.js';

/** Changes to a list of keyed items. */
export interface ItemsDelta {
  /** New or changed items, in full. */
  readonly set: readonly object[];
  /** Keys of removed items. */
  readonly remove: readonly string[];
}

/** Change of one top-level part of a body: item by item, or the full new value. */
export type PartDelta = { readonly items: ItemsDelta } | { readonly whole: unknown };

/** Changes from configuration version `from` to `version`. */
export interface ConfigDelta {
  readonly from: number;
  readonly version: number;
  readonly basedOn: number;
  readonly digest: string;
  readonly parts: Record<string, PartDelta>;
  /** Names of removed parts. */
  readonly dropped: readonly string[];
}

/** Changes from instance list version `from` to `version`. */
export interface ListDelta {
  readonly from: number;
  readonly version: number;
  readonly items: ItemsDelta;
}

type Item = Record<string, unknown>;

function isKeyedList(value: unknown, key: string): value is Item[] {
  return (
    Array.isArray(value) && value.every((item) => typeof (item as Item | null)?.[key] === 'string')
  );
}

function diffItems(before: readonly Item[], after: readonly Item[], key: string): ItemsDelta {
  const serializedBefore = new Map(before.map((item) => [item[key], JSON.stringify(item)]));
  const keysAfter = new Set(after.map((item) => item[key]));
  return {
    set: after.filter((item) => serializedBefore.get(item[key]) !== JSON.stringify(item)),
    remove: before.filter((item) => !keysAfter.has(item[key])).map((item) => String(item[key])),
  };
}

/** Applies a delta. Existing items keep their order; new ones are appended. */
function applyItems(before: readonly Item[], delta: ItemsDelta, key: string): Item[] {
  const updates = new Map(delta.set.map((item) => [(item as Item)[key], item as Item]));
  const removed = new Set(delta.remove);
  const kept = before
    .filter((item) => !removed.has(String(item[key])))
    .map((item) => updates.get(item[key]) ?? item);
  const keysBefore = new Set(before.map((item) => item[key]));
  return [...kept, ...[...updates.values()].filter((item) => !keysBefore.has(item[key]))];
}

const PART_KEY = 'id';
const INSTANCE_KEY = 'instance';

/**
 * Computes the delta from one document to another.
 * @example diffConfig(previous, next).parts // { events: { items: { set: [event], remove: [] } } }
 */
export function diffConfig(
  before: ConfigurationDocument,
  after: ConfigurationDocument,
): ConfigDelta {
  const parts: Record<string, PartDelta> = {};
  const oldBody = before.body as unknown as Record<string, unknown>;
  for (const [name, value] of Object.entries(after.body)) {
    const previous = oldBody[name];
    if (JSON.stringify(previous) === JSON.stringify(value)) continue;
    const keyed = isKeyedList(previous, PART_KEY) && isKeyedList(value, PART_KEY);
    parts[name] = keyed ? { items: diffItems(previous, value, PART_KEY) } : { whole: value };
  }
  const dropped = Object.keys(oldBody).filter((name) => !Object.hasOwn(after.body, name));
  return {
    from: before.version,
    version: after.version,
    basedOn: after.basedOn,
    digest: after.digest,
    parts,
    dropped,
  };
}

/**
 * Applies a delta to a document. The result is unchecked.
 * @example store.offerConfig(applyConfig(current, delta), 'peer')
 */
export function applyConfig(before: ConfigurationDocument, delta: ConfigDelta): unknown {
  const body: Record<string, unknown> = { ...before.body };
  for (const name of delta.dropped) delete body[name];
  for (const [name, part] of Object.entries(delta.parts)) {
    const previous = body[name];
    body[name] =
      'whole' in part
        ? part.whole
        : applyItems(isKeyedList(previous, PART_KEY) ? previous : [], part.items, PART_KEY);
  }
  return { version: delta.version, basedOn: delta.basedOn, digest: delta.digest, body };
}

/**
 * Computes the delta from one instance list to another.
 * @example diffList(previous, next).items.remove // ['kgl-a-entry-1']
 */
export function diffList(before: InstanceList, after: InstanceList): ListDelta {
  const items = diffItems(
    before.instances as unknown as Item[],
    after.instances as unknown as Item[],
    INSTANCE_KEY,
  );
  return { from: before.version, version: after.version, items };
}

/** Applies a delta to an instance list. The result is unchecked. */
export function applyList(before: InstanceList, delta: ListDelta): unknown {
  const instances = applyItems(before.instances as unknown as Item[], delta.items, INSTANCE_KEY);
  return { version: delta.version, instances };
}
