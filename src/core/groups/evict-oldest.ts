/** Size-limited maps that evict the entry set least recently. */

/**
 * Sets an entry as the most recent one, and evicts the oldest when the map exceeds `maxSize`.
 * @example setAndEvictOldest(maps, map.id, map, 3)
 */
export function setAndEvictOldest<K, V>(
  values: Map<K, V>,
  key: K,
  value: V,
  maxSize: number,
): void {
  values.delete(key);
  values.set(key, value);
  const [oldest] = values.keys();
  if (values.size > maxSize && oldest !== undefined) values.delete(oldest);
}
