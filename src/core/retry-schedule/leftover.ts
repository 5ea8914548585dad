/** How many slots first tries leave over for returning callers that wait for them. */

/** Rates at one moment. */
export interface SlotRates {
  /** Slots that come free, a second. */
  readonly releasesPerS: number;
  /** First tries, a second. */
  readonly firstTriesPerS: number;
  /** Free slots kept for first tries. */
  readonly reserved: number;
  /** Time for which a first try waits for a slot, ms. */
  readonly firstTryWaitMs: number;
}

/**
 * Slots a second left over for returning callers if some always wait. The free slots then vary between 0 and the
 * reserve, up by releases and down by first tries; a first try that finds none is refused unless one comes free
 * while it waits. With both rates equal and a reserve of 2, a sixth of the slots is left over.
 * @example leftoverPerS({ releasesPerS: 12, firstTriesPerS: 6, reserved: 2, firstTryWaitMs: 50 }) // 6.5
 */
export function leftoverPerS(rates: SlotRates): number {
  const { releasesPerS, firstTriesPerS, reserved, firstTryWaitMs } = rates;
  if (releasesPerS <= 0) return 0;
  const ratio = firstTriesPerS / releasesPerS;
  let sum = 0;
  for (let free = 0; free <= reserved; free += 1) sum += ratio ** free;
  const noneFree = ratio ** reserved / sum;
  const missed = noneFree * Math.exp((-releasesPerS * firstTryWaitMs) / 1000);
  return Math.max(0, releasesPerS - firstTriesPerS * (1 - missed));
}

/** Points and weights of a normal distribution (Gauss-Hermite quadrature). */
const NORMAL_POINTS = [
  { at: -Math.sqrt(3), weight: 1 / 6 },
  { at: 0, weight: 2 / 3 },
  { at: Math.sqrt(3), weight: 1 / 6 },
] as const;

/**
 * As `leftoverPerS`, with the rate of first tries known only with a standard deviation.
 * @example expectedLeftoverPerS({ releasesPerS: 12, firstTriesPerS: 18, reserved: 2, firstTryWaitMs: 50 }, 5) // 0.6
 */
export function expectedLeftoverPerS(rates: SlotRates, uncertaintyPerS: number): number {
  let expected = 0;
  for (const { at, weight } of NORMAL_POINTS) {
    const firstTriesPerS = Math.max(0, rates.firstTriesPerS + at * uncertaintyPerS);
    expected += weight * leftoverPerS({ ...rates, firstTriesPerS });
  }
  return expected;
}
