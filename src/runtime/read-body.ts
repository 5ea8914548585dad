/** Reads a request body within a size limit and a time limit. */
import type { IncomingMessage } from 'node:http';
import { ByteCollector } from '../core/buffering/index.js';
import { IoTimeout } from '../core/clock/index.js';
import { Err, Ok, type Result } from '../core/result/index.js';
import { notRun, type HarriergladeError } from '../core/errors/index.js';

/** The body violates HTTP: what is left of it cannot be told from the next request. */
function malformedBody({ code, message }: NodeJS.ErrnoException): HarriergladeError {
  const detail = `The body violates HTTP: ${code} ${message}.`;
  if (code === 'HPE_CHUNK_EXTENSIONS_OVERFLOW') return notRun('body-large', detail);
  return notRun(code === 'HPE_HEADER_OVERFLOW' ? 'trailers-large' : 'body-malformed', detail);
}

/** Where the memory of a body is counted. */
export interface BodyMemory {
  /** Takes bytes of memory for the body in all; false if there are too few. */
  readonly extendTo: (bytes: number) => boolean;
  /** Registers a callback for when the memory is needed for other bodies. */
  readonly whenEnded: (onEnded: () => void) => void;
  /** The body is complete. */
  readonly complete: () => void;
}

/** Length that a request declares for its body, at most `maxBytes`; 0 if it declares none. */
export function declaredBytes(req: IncomingMessage, maxBytes: number): number {
  return Math.min(Number(req.headers['content-length'] ?? 0), maxBytes);
}

/**
 * Resolves to the complete body, or to the error that ended it.
 * @example const body = await readBody(req, 1_048_576, 10_000, memory); if (body.err) return refuse(body.val);
 */
export function readBody(
  req: IncomingMessage,
  maxBytes: number,
  maxMs: number,
  memory?: BodyMemory,
): Promise<Result<Buffer, HarriergladeError>> {
  return new Promise((resolve) => {
    const body = new ByteCollector(declaredBytes(req, maxBytes) || undefined);
    const settle = (result: () => Result<Buffer, HarriergladeError>): void => {
      timeout.stop();
      req.off('data', onData).off('end', onEnd).off('error', onError).off('close', onEarlyClose);
      resolve(result());
      // The request may refer to the body until its connection closes.
      body.clear();
    };
    const onEnd = (): void =>
      settle(() => {
        memory?.complete();
        return Ok(body.toBuffer());
      });
    // Every request emits close, so the error is created only if the body is incomplete by then.
    const onEarlyClose = (): void => settle(() => Err(notRun('body-cut')));
    const onError = (err: NodeJS.ErrnoException): void =>
      err.code?.startsWith('HPE_') ? settle(() => Err(malformedBody(err))) : onEarlyClose();
    const refuse = (): void =>
      settle(() => Err(notRun('buffers-full', 'The process cannot buffer the body.')));
    const onData = (chunk: Buffer): void => {
      if (body.size + chunk.length > maxBytes)
        return settle(() =>
          Err(notRun('body-large', `The body is larger than ${maxBytes} bytes.`)),
        );
      body.push(chunk);
      if (memory?.extendTo(body.takenBytes) === false) refuse();
    };
    const timeout = new IoTimeout(() =>
      settle(() => Err(notRun('body-late', `The body took longer than ${maxMs} ms.`))),
    );
    timeout.start(maxMs);
    memory?.whenEnded(refuse);
    // Without a listener, a later error on the connection would end the process.
    req.on('error', () => undefined);
    req.on('data', onData);
    req.once('end', onEnd).once('error', onError).once('close', onEarlyClose);
  });
}
