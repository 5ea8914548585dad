/** Reads responses that are not streamed to the end before they are forwarded. */
import { errorText } from '../../core/errors/index.js';
import { Err, Ok, type Result } from '../../core/result/index.js';
import type { AttemptResponse } from './attempt.js';
import { MAX_RESPONSE_BYTES } from '../consts.js';
import type { AttemptFault } from '../types.js';

/**
 * Reads a response to its end within `timeoutMs`; a truncated response is an error.
 * @example const body = await readFullResponse(response, 400); if (body.ok) res.end(body.val);
 */
export async function readFullResponse(
  response: AttemptResponse,
  timeoutMs: number,
): Promise<Result<Buffer, AttemptFault>> {
  const chunks: Buffer[] = [];
  let size = 0;
  let hasTimedOut = false;
  const timer = setTimeout(() => {
    hasTimedOut = true;
    response.closeStalled(timeoutMs);
  }, timeoutMs);
  try {
    for await (const chunk of response.body as AsyncIterable<Buffer>) {
      size += chunk.length;
      if (size > MAX_RESPONSE_BYTES) {
        response.close();
        return Err({
          kind: 'broke',
          detail: `the response is larger than ${MAX_RESPONSE_BYTES} bytes`,
        });
      }
      chunks.push(chunk);
    }
    return Ok(Buffer.concat(chunks));
  } catch (err) {
    if (hasTimedOut)
      return Err({
        kind: 'silent',
        detail: `response incomplete after ${Math.round(timeoutMs)} ms`,
      });
    return Err({ kind: 'broke', detail: errorText(err) });
  } finally {
    clearTimeout(timer);
  }
}
