/** A loopback address for each process: what one test starts can never be met by another one's daemons. */

/**
 * The loopback address of this process. Ports that a stopped program had are given out anew, and a daemon that
 * still knows one would otherwise call whatever listens there now. All of 127.0.0.0/8 is loopback on Linux.
 * @example ownHost(4242) // '127.64.33.19'
 */
export function ownHost(pid: number = process.pid): string {
  const [high, middle, low] = [(pid >> 14) & 63, (pid >> 7) & 127, pid & 127];
  return `127.${64 + high}.${middle}.${1 + low}`;
}

/** The address of this process. */
export const OWN_HOST = ownHost();
