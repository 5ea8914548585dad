/** Constants of admission control. */

/** Burst capacity of an organisation, in seconds of its rate. */
export const BURST_SECONDS = 2;
/** Pressure below which an organisation may exceed its share. */
export const BORROW_BELOW_PRESSURE = 0.25;
/** Pressure from which the first entry of an event's `sacrifice` list is shed. */
export const MIN_SACRIFICE_PRESSURE = 0.3;
/** Half-life of the recorded usage of an organisation, ms. */
export const USAGE_HALF_LIFE_MS = 5000;
/** Maximum debt of an organisation that exceeds its share, in bursts. */
export const MAX_BORROWED_BURSTS = 4;
