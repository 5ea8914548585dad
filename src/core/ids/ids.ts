/** Branded ids: strings that the compiler keeps apart. */
import { randomBytes } from 'node:crypto';

declare const brand: unique symbol;
/** A string of one kind; ids of different kinds do not mix. */
export type Id<Kind extends string> = string & { readonly [brand]: Kind };

export type InstanceId = Id<'instance'>;
export type EndpointId = Id<'endpoint'>;
/** A group of ranks in lock-step; a service may have several. */
export type GroupId = Id<'group'>;
export type OrganisationId = Id<'organisation'>;
/** One start of one daemon: a restarted process has another. */
export type Incarnation = Id<'incarnation'>;

/**
 * Marks a checked string as an id of one kind.
 * @example const endpoint = asId<EndpointId>('kgl-a-model-1');
 */
export function asId<T extends Id<string>>(text: string): T {
  return text as T;
}

/**
 * A fresh incarnation: start time (ms, base 36) and 48 random bits.
 * @example newIncarnation(Date.now()) // 'mip3k2x0-9f1c22ab03de'
 */
export function newIncarnation(wallMs: number): Incarnation {
  return asId(`${wallMs.toString(36)}-${randomBytes(6).toString('hex')}`);
}
