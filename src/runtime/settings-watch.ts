/** Looks at a process's settings again, on SIGHUP and now and then: the file may change with no signal. */
import type { HarriergladeError } from '../core/errors/index.js';
import type { Log } from '../core/logging/index.js';
import type { Result } from '../core/result/index.js';

/** How often the file is looked at without a signal, ms; a change of it is rare and nothing waits for it. */
const REREAD_MS = 5000;

/**
 * Watches the settings of this process; what cannot be read leaves those in force as they are. Addresses
 * are bound once, so a change is logged and takes effect at the next start.
 * @example watchSettings(() => readBootFile(process.env), settings, log);
 */
export function watchSettings<T>(
  reread: () => Result<T, HarriergladeError>,
  inForce: T,
  log: Log,
): void {
  let before = JSON.stringify(inForce);
  const look = (cause: 'SIGHUP' | 'timer'): void => {
    const read = reread();
    if (read.err) return log.warn('settings.kept', { cause, err: read.val.message });
    const now = JSON.stringify(read.val);
    if (now === before && cause === 'timer') return;
    log.info('settings.reread', { cause, changed: now !== before });
    before = now;
  };
  process.on('SIGHUP', () => look('SIGHUP'));
  setInterval(() => look('timer'), REREAD_MS).unref();
}
