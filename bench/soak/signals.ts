/** Tells whether a program listens for signals: before that nothing it could do keeps them from ending it. */
import { readFileSync } from 'node:fs';
import { constants } from 'node:os';

/**
 * Whether a process has a listener for SIGHUP, by the kernel's record of it; false when it has ended. Node
 * itself has one for SIGTERM from its start, so that one tells nothing.
 * @example listensForSignals(child.pid)
 */
export function listensForSignals(pid: number): boolean {
  let status: string;
  try {
    status = readFileSync(`/proc/${pid}/status`, 'utf8');
  } catch {
    return false;
  }
  const caught = /^SigCgt:\s*([0-9a-f]+)$/m.exec(status)?.[1] ?? '0';
  return ((BigInt(`0x${caught}`) >> BigInt(constants.signals.SIGHUP - 1)) & 1n) === 1n;
}
