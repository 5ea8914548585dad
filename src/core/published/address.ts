/** Checks and splits `host:port` addresses as endpoints publish them. */
import { isIPv4 } from 'node:net';

const MAX_PORT = 65_535;

/**
 * Whether a text is an address that a connection can be opened to, as IP:PORT.
 * @example isAddress('127.0.0.9:87280') // false, no port is that high
 */
export function isAddress(text: string): boolean {
  const port = text.slice(hostOf(text).length + 1);
  return isIPv4(hostOf(text)) && /^[1-9]\d{0,4}$/.test(port) && Number(port) <= MAX_PORT;
}

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
