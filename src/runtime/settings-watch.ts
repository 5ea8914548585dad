/** Rereads a process's settings on SIGHUP and on a timer: the file may change without a signal. */
import type { HarriergladeError } from '../core/errors/index.js';
import type { Log } from '../core/logging/index.js';
import type { Result } from '../core/result/index.js';

/** How often the file is reread without a signal, ms; changes are rare and not urgent. */
const REREAD_INTERVAL_MS = 5000;

/**
 * Watches the settings of this process; unreadable settings leave those in force unchanged.
 * Addresses are bound once, so a change is only logged and takes effect at the next start.
 * @example watchSettings(() => readBootFile(process.env), settings, log);
 */
export function watchSettings<T>(
  reread: () => Result<T, HarriergladeError>,
  inForce: T,
  log: Log,
): void {
  let current = JSON.stringify(inForce);
  const check = (cause: 'SIGHUP' | 'timer'): void => {
    const read = reread();
    if (read.err) return log.warn('settings.kept', { cause, err: read.val.message });
    const next = JSON.stringify(read.val);
    if (next === current && cause === 'timer') return;
    log.info('settings.reread', { cause, changed: next !== current });
    current = next;
  };
  process.on('SIGHUP', () => check('SIGHUP'));
  setInterval(() => check('timer'), REREAD_INTERVAL_MS).unref();
}
