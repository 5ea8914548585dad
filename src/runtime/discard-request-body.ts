/** Reads the rest of a request body that nobody needs, within a size limit and a time limit. */
import type { IncomingMessage } from 'node:http';
import { IoTimeout } from '../core/clock/index.js';

/** Limits of a body that is discarded. */
export interface DiscardLimits {
  readonly maxBytes: number;
  readonly maxMs: number;
}

/**
 * Resolves once the body has ended, or at the first limit that it exceeds; returns whether it has ended.
 * @example if (!(await discardRequestBody(req, { maxBytes: 4096, maxMs: 2000 }))) req.socket.destroy();
 */
export function discardRequestBody(
  req: IncomingMessage,
  { maxBytes, maxMs }: DiscardLimits,
): Promise<boolean> {
  return new Promise((resolve) => {
    let size = 0;
    const settle = (): void => {
      timeout.stop();
      req.off('data', onData).off('end', settle).off('close', settle);
      resolve(req.complete || req.destroyed);
    };
    const onData = (chunk: Buffer): void => {
      size += chunk.length;
      if (size > maxBytes) settle();
    };
    const timeout = new IoTimeout(settle);
    timeout.start(maxMs);
    req.on('data', onData).once('end', settle).once('close', settle);
  });
}
