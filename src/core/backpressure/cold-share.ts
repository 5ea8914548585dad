/**
 * The part of a cold endpoint's rate that one entry may use, computed without messages: an endpoint
 * is cold for a few seconds, and most requests have another endpoint to go to. Tokens granted by
 * relays would use more of the rate, at one call for each request while a whole data centre is cold
 * (figures in docs/design/cold-endpoints.md).
 */
import { COLD_BOUND, TARGET_UTILISATION } from './consts.js';
import type { LimitShare } from './token-bucket.js';

const NONE: LimitShare = { perS: 0, saved: 1 };
/**
 * Part of a second in which a bucket gains the tokens of one, since requests do not arrive exactly
 * a second apart.
 */
const WINDOW_SHARE = 0.95;
/**
 * Expected senders of an endpoint, as a part of its rate. Of 100 entries with equal chances, as many
 * as the rate on average, up to 44 sent to one of 240 endpoints that bear 26 requests/s, just
 * the bound.
 */
const SENDERS_SHARE = 0.8;

/**
 * Returns the share of one of some entries. With more entries than may send in one second, only a
 * part of them sends to an endpoint, chosen by `position`, from 0 to 1 and independent among
 * entries and endpoints.
 * @example coldShare(26, 7, 0.4).perS // 3.71
 */
export function coldShare(perS: number, entries: number, position: number): LimitShare {
  const allowed = TARGET_UTILISATION * (COLD_BOUND.factor * perS + COLD_BOUND.extra);
  const perEntry = Math.floor(allowed / Math.max(1, entries));
  if (perEntry >= 1)
    return { perS: Math.min(perS / Math.max(1, entries), WINDOW_SHARE * perEntry), saved: 1 };
  const senders = Math.max(1, SENDERS_SHARE * perS);
  return position * entries < senders ? { perS: WINDOW_SHARE, saved: 1 } : NONE;
}
