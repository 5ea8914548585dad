/**
 * Slots of one entry under an admission level. The level keeps the streams of all entries together within the limit, so
 * that an entry may exceed its own part for a moment.
 */
import type { AdmissionLevel } from './admission-level.js';

/**
 * Share of its slots that an entry uses before the level refuses anyone, with a fresh digest and without: a level by the
 * entry's own arrivals alone is uncertain, and an idle entry must not refuse.
 */
const MIN_USED_SHARE = { fresh: 0.3, unknown: 0.9 } as const;
/** Slots for waiting requests that an entry has at any admission level. */
const MIN_QUEUE_SLOTS = 2;
/** Standard deviations of its own streams by which an entry exceeds its slots for requests above the cut. */
const ABOVE_CUT_DEVIATIONS = 2.5;
/** The same for requests at the cut, and for the least urgent class. */
const AT_CUT_DEVIATIONS = 0.5;
/**
 * Multiple of its part of the group's free slots that an entry may use: entries vary independently, so that few use
 * theirs at the same time.
 */
const FREE_SLOTS_FACTOR = 3;

/**
 * Slots for requests that wait, and for returning callers: while a class is cut, the variation is kept free.
 * @example queueSlots(level) // 7 of 10 while a class is cut
 */
export function queueSlots({ slots, cut, trust }: AdmissionLevel): number {
  const reserved = cut === undefined ? 0 : trust * Math.sqrt(slots);
  return Math.max(MIN_QUEUE_SLOTS, Math.round(slots - reserved));
}

/**
 * Streams of this entry below which the level refuses no one.
 * @example if (queue.running < minUsedSlots(level)) admit();
 */
export function minUsedSlots({ slots, trust }: AdmissionLevel): number {
  const { fresh, unknown } = MIN_USED_SHARE;
  return slots * (trust * fresh + (1 - trust) * unknown);
}

/**
 * Slots for first tries that the level admits; the level of an old digest allows no excess.
 * @example const hasSlot = queue.running < admittedSlots(level, isAboveCut);
 */
export function admittedSlots({ slots, trust, free }: AdmissionLevel, isAboveCut: boolean): number {
  const deviations = isAboveCut ? ABOVE_CUT_DEVIATIONS : AT_CUT_DEVIATIONS;
  return Math.round(
    slots + trust * (FREE_SLOTS_FACTOR * free * slots + deviations * Math.sqrt(slots)),
  );
}
