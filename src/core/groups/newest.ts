/** Maps that keep what was set last. */

/**
 * Sets a value as the newest one, and forgets the oldest where there are more than so many.
 * @example setNewest(maps, map.id, map, 3)
 */
export function setNewest<K, V>(values: Map<K, V>, key: K, value: V, most: number): void {
  values.delete(key);
  values.set(key, value);
  const [oldest] = values.keys();
  if (values.size > most && oldest !== undefined) values.delete(oldest);
}
