/** Probabilities of a Poisson process. */

/**
 * Probability of at least `count` events when `mean` are expected.
 * @example poissonTail(1, 0.6) // 0.45
 */
export function poissonTail(count: number, mean: number): number {
  let term = Math.exp(-mean);
  let below = 0;
  for (let events = 0; events < count; events += 1) {
    below += term;
    term *= mean / (events + 1);
  }
  return Math.max(0, 1 - below);
}
