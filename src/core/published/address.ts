/** Addresses as endpoints publish them. */

/**
 * The host of a host:port.
 * @example hostOf('10.1.0.43:8228') // '10.1.0.43'
 */
export function hostOf(address: string): string {
  return address.split(':', 1)[0] ?? '';
}

/**
 * The port of a host:port.
 * @example portOf('10.1.0.43:8228') // 8228
 */
export function portOf(address: string): number {
  return Number(address.slice(hostOf(address).length + 1));
}
