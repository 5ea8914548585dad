/** Constants of admission by urgency. */

/** Urgencies counted apart; rarer ones count as the nearest of these. */
export const MAX_URGENCIES = 8;
/** Organisations reported by name; the others are reported together. */
export const MAX_ORGANISATIONS = 8;
/** Organisations that an entry counts apart, so that the largest are among them. */
export const MAX_COUNTED_ORGANISATIONS = 48;

/** Time constant of the arrival counts, ms: bursts last a few seconds. */
export const DEMAND_TIME_CONSTANT_MS = 1000;
/** Time constant of the mean time for which streams hold a slot, ms. */
export const HOLDING_TIME_CONSTANT_MS = 4000;
/** Time constant of the spread of the demand, ms; a burst widens it for a few seconds after its end. */
export const SPREAD_TIME_CONSTANT_MS = 3000;

/** Largest plausible arrivals a second at one entry. */
export const MAX_ENTRY_PER_S = 2000;
/** Largest plausible holding time, ms. */
export const MAX_HOLD_MS = 60_000;
/** Largest plausible limit of a group, streams. */
export const MAX_LIMIT = 100_000;

/** Age up to which the group's demand counts fully, ms: coordinators report it every 0.1 to 0.6 s. */
export const FRESH_DEMAND_MS = 1000;
/** Age from which only the entry's own demand counts, ms. */
export const MAX_DEMAND_AGE_MS = 3000;

/**
 * Part of the group's free streams by which the room for new ones grows, and of the excess by which it shrinks. Streams
 * beyond the limit make all of them late, and only their end reduces them.
 */
export const FEEDBACK_SHARE = 1;
/** Streams kept free for more urgent requests, in standard deviations of these. */
export const RESERVE_DEVIATIONS = 1;
/** Least service of an organisation, as a share of the mean service of its class. */
export const MIN_ORGANISATION_SERVICE = 0.5;
/** Part of the limit that is split evenly among entries; the rest is split by their admitted demand. */
export const EVEN_PART = 0.25;
/** Arrivals a second, evenly from all entries, that are added to the demand: a few callers do not show its parts. */
export const EVEN_PER_S = 10;
/** Slots that an entry has whatever its demand. */
export const MIN_LEVEL_SLOTS = 2;

/** Arrivals a second at an entry at which half of a change is attributed to the whole group and half to chance. */
export const HALF_WEIGHT_PER_S = 10;
/** Largest change that is attributed to the group, as a factor. */
export const MAX_CHANGE = 4;
