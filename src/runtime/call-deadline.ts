/** A limit on the whole time of a call. */
import { IoTimeout } from '../core/clock/index.js';

/**
 * Runs a call with a signal that aborts at the time limit, or with the caller's own signal. Rejects at
 * that moment: undici reports the end of a request that is still queued only once a connection is free.
 * @example await callWithin(1000, () => new Error('late'), null, (signal) => pool.request({ ...call, signal }));
 */
export function callWithin<T>(
  maxMs: number,
  createError: () => Error,
  callerSignal: AbortSignal | null,
  run: (signal: AbortSignal) => Promise<T>,
): Promise<T> {
  const aborter = new AbortController();
  return new Promise((resolve, reject) => {
    const end = (reason: unknown): void => {
      aborter.abort(reason);
      reject(reason as Error);
    };
    const timeout = new IoTimeout(() => end(createError()));
    const onAbort = (): void => end(callerSignal?.reason);
    if (callerSignal?.aborted) return onAbort();
    callerSignal?.addEventListener('abort', onAbort);
    timeout.start(maxMs);
    void run(aborter.signal)
      .then(resolve, reject)
      .finally(() => {
        timeout.stop();
        callerSignal?.removeEventListener('abort', onAbort);
      });
  });
}
