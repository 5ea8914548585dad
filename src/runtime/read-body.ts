/** Reads a request body within a size limit and a time limit. */
import type { IncomingMessage } from 'node:http';
import { IoTimeout } from '../core/clock/index.js';
import { Err, Ok, type Result } from '../core/result/index.js';
import { notRun, type HarriergladeError } from '../core/errors/index.js';

/** The body violates HTTP: what is left of it cannot be told from the next request. */
function malformedBody({ code, message }: NodeJS.ErrnoException): HarriergladeError {
  const detail = `The body violates HTTP: ${code} ${message}.`;
  if (code === 'HPE_CHUNK_EXTENSIONS_OVERFLOW') return notRun('body-large', detail);
  return notRun(code === 'HPE_HEADER_OVERFLOW' ? 'trailers-large' : 'body-malformed', detail);
}

/**
 * Resolves to the complete body, or to the error that ended it. `hasRoom` is called with the number of
 * bytes received so far, and returns false if they cannot be buffered.
 * @example const body = await readBody(req, 1_048_576, 10_000); if (body.err) return refuse(body.val);
 */
export function readBody(
  req: IncomingMessage,
  maxBytes: number,
  maxMs: number,
  hasRoom: (bytes: number) => boolean = () => true,
): Promise<Result<Buffer, HarriergladeError>> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    const settle = (result: () => Result<Buffer, HarriergladeError>): void => {
      timeout.stop();
      req.off('data', onData).off('end', onEnd).off('error', onError).off('close', onEarlyClose);
      resolve(result());
    };
    const onEnd = (): void => settle(() => Ok(Buffer.concat(chunks)));
    // Every request emits close, so the error is created only if the body is incomplete by then.
    const onEarlyClose = (): void => settle(() => Err(notRun('body-cut')));
    const onError = (err: NodeJS.ErrnoException): void =>
      err.code?.startsWith('HPE_') ? settle(() => Err(malformedBody(err))) : onEarlyClose();
    const onData = (chunk: Buffer): void => {
      size += chunk.length;
      chunks.push(chunk);
      if (size > maxBytes)
        settle(() => Err(notRun('body-large', `The body is larger than ${maxBytes} bytes.`)));
      else if (!hasRoom(size))
        settle(() => Err(notRun('buffers-full', 'The entry cannot buffer the body.')));
    };
    const timeout = new IoTimeout(() =>
      settle(() => Err(notRun('body-late', `The body took longer than ${maxMs} ms.`))),
    );
    timeout.start(maxMs);
    // Without a listener, a later error on the connection would end the process.
    req.on('error', () => undefined);
    req.on('data', onData);
    req.once('end', onEnd).once('error', onError).once('close', onEarlyClose);
  });
}
