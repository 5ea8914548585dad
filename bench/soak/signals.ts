/** Detects whether a program has installed its signal handlers; before that, a signal kills it. */
import { readFileSync } from 'node:fs';
import { constants } from 'node:os';

/**
 * Whether a process handles SIGHUP according to `/proc`; false if it has exited. SIGTERM cannot be
 * used for this: Node itself handles it from its start.
 * @example handlesSignals(child.pid)
 */
export function handlesSignals(pid: number): boolean {
  let status: string;
  try {
    status = readFileSync(`/proc/${pid}/status`, 'utf8');
  } catch {
    return false;
  }
  const caughtSignals = /^SigCgt:\s*([0-9a-f]+)$/m.exec(status)?.[1] ?? '0';
  return ((BigInt(`0x${caughtSignals}`) >> BigInt(constants.signals.SIGHUP - 1)) & 1n) === 1n;
}
