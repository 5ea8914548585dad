/** Branded string types for ids, so that the compiler tells kinds of ids apart. */
import { randomBytes } from 'node:crypto';

declare const brand: unique symbol;
/** An id of one kind, not assignable to an id of another kind. */
export type Id<Kind extends string> = string & { readonly [brand]: Kind };

export type InstanceId = Id<'instance'>;
export type EndpointId = Id<'endpoint'>;
/** A group of ranks that run in lockstep; a service may have several groups. */
export type GroupId = Id<'group'>;
export type OrganisationId = Id<'organisation'>;
/** Identifies one run of a daemon process; a restart gets a new one. */
export type Incarnation = Id<'incarnation'>;

/**
 * Casts a validated string to an id of one kind.
 * @example const endpoint = asId<EndpointId>('kgl-a-model-1');
 */
export function asId<T extends Id<string>>(text: string): T {
  return text as T;
}

/**
 * Generates an incarnation: start time (ms, base 36) and 48 random bits.
 * @example newIncarnation(Date.now()) // 'mip3k2x0-9f1c22ab03de'
 */
export function newIncarnation(wallMs: number): Incarnation {
  return asId(`${wallMs.toString(36)}-${randomBytes(6).toString('hex')}`);
}
