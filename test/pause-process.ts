/** Pauses the process of a test, as on a busy machine. */

/** Blocks the event loop for `ms`. */
export function pauseProcess(ms: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
}
