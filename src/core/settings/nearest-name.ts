/** Suggests a known name for a mistyped one. */

function editDistance(a: string, b: string): number {
  let row = Array.from({ length: b.length + 1 }, (_, i) => i);
  for (let i = 1; i <= a.length; i += 1) {
    const next = [i];
    for (let j = 1; j <= b.length; j += 1) {
      const substitution = (row[j - 1] ?? 0) + (a[i - 1] === b[j - 1] ? 0 : 1);
      next.push(Math.min((row[j] ?? 0) + 1, (next[j - 1] ?? 0) + 1, substitution));
    }
    row = next;
  }
  return row[b.length] ?? 0;
}

/**
 * Returns the known name with the smallest edit distance, or undefined when none is close enough.
 * @example nearestName('lisen', ['listen', 'role']) // 'listen'
 */
export function nearestName(input: string, known: readonly string[]): string | undefined {
  const limit = Math.max(2, Math.floor(input.length / 3));
  let best: string | undefined;
  let bestDistance = limit + 1;
  for (const name of known) {
    const distance = editDistance(input.toLowerCase(), name.toLowerCase());
    if (distance < bestDistance) [best, bestDistance] = [name, distance];
  }
  return best;
}
