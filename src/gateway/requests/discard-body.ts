/** Reads a body that nobody needs, so that its connection can carry further requests. */
import type { Dispatcher } from 'undici';
import { IoTimeout } from '../../core/clock/index.js';
import { MAX_DISCARDED_BYTES, MAX_DISCARD_MS } from '../consts.js';

/**
 * Discards a body in the background; `close` is called if it does not end within narrow limits of bytes and time.
 * @example discardBody(body, () => exchange.close());
 */
export function discardBody(body: Dispatcher.ResponseData['body'], close: () => void): void {
  let size = 0;
  const timeout = new IoTimeout(close);
  timeout.start(MAX_DISCARD_MS);
  body.on('data', (bytes: Buffer) => {
    size += bytes.length;
    if (size > MAX_DISCARDED_BYTES) close();
  });
  body.on('close', () => timeout.stop());
}
