/** Kills child processes when this process exits or is terminated by a signal. */
import type { ChildProcess } from 'node:child_process';
import { constants } from 'node:os';

const children = new Set<ChildProcess>();
let areHandlersInstalled = false;

/** Signals that by default end the process without emitting `exit`. */
const TERMINATION_SIGNALS = ['SIGINT', 'SIGTERM'] as const;
/** Shells report a process killed by signal N with exit code 128 + N. */
const SIGNAL_EXIT_BASE = 128;

function installExitHandlers(): void {
  if (areHandlersInstalled) return;
  areHandlersInstalled = true;
  process.once('exit', () => {
    for (const child of children) child.kill('SIGKILL');
  });
  for (const signal of TERMINATION_SIGNALS)
    process.once(signal, () => process.exit(SIGNAL_EXIT_BASE + constants.signals[signal]));
}

/**
 * Kills a child process when this process exits.
 * @example killOnExit(spawn(process.execPath, [script]));
 */
export function killOnExit(child: ChildProcess): void {
  installExitHandlers();
  children.add(child);
  child.once('exit', () => children.delete(child));
}
