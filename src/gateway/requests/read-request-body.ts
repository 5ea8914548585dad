/** Reads the body of a request within the limits of the configuration and the memory budget. */
import type { IncomingMessage } from 'node:http';
import type { BodyReservation } from '../../core/buffering/index.js';
import { notRun, type HarriergladeError } from '../../core/errors/index.js';
import { Err, type Result } from '../../core/result/index.js';
import { declaredBytes, readBody } from '../../runtime/read-body.js';

/** Options of reading a request body. */
export interface RequestBodyOptions {
  readonly reservation: BodyReservation;
  readonly maxBytes: number;
  readonly maxMs: number;
}

/**
 * Resolves to the body. A request whose declared body does not fit into the budget is refused before
 * its body is read.
 * @example const body = await readRequestBody(req, { reservation, maxBytes: 4096, maxMs: 800 });
 */
export async function readRequestBody(
  req: IncomingMessage,
  { reservation, maxBytes, maxMs }: RequestBodyOptions,
): Promise<Result<Buffer, HarriergladeError>> {
  const bytes = declaredBytes(req, maxBytes);
  if (!reservation.extendTo(bytes))
    return Err(notRun('buffers-full', `The entry cannot buffer the ${bytes} bytes of the body.`));
  return readBody(req, maxBytes, maxMs, reservation);
}
