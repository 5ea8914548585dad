/** Splits `host:port` addresses as endpoints publish them. */

/**
 * Returns the host of a `host:port` address.
 * @example hostOf('10.1.0.43:8228') // '10.1.0.43'
 */
export function hostOf(address: string): string {
  return address.split(':', 1)[0] ?? '';
}

/**
 * Returns the port of a `host:port` address.
 * @example portOf('10.1.0.43:8228') // 8228
 */
export function portOf(address: string): number {
  return Number(address.slice(hostOf(address).length + 1));
}
