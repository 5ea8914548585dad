/** Addresses as endpoints publish them. */

/**
 * The host of a host:port.
 * @example hostOf('10.1.0.43:8228') // '10.1.0.43'
 */
export function hostOf(address: string): string {
  return address.split(':', 1)[0] ?? '';
}
