/** Processes that were started here end with this process, however that ends. */
import type { ChildProcess } from 'node:child_process';
import { constants } from 'node:os';

const children = new Set<ChildProcess>();
let isWatching = false;

/** Signals that would end this process without its listeners for `exit`. */
const ENDING = ['SIGINT', 'SIGTERM'] as const;
/** What a shell adds to the number of the signal that ended a process. */
const SIGNAL_EXIT = 128;

function watch(): void {
  if (isWatching) return;
  isWatching = true;
  process.once('exit', () => {
    for (const child of children) child.kill('SIGKILL');
  });
  for (const signal of ENDING)
    process.once(signal, () => process.exit(SIGNAL_EXIT + constants.signals[signal]));
}

/**
 * Sees to it that a child does not outlive this process.
 * @example endWithUs(spawn(process.execPath, [script]));
 */
export function endWithUs(child: ChildProcess): void {
  watch();
  children.add(child);
  child.once('exit', () => children.delete(child));
}
