/** Reads responses that are not streamed to the end before they are forwarded. */
import { ByteCollector } from '../../core/buffering/index.js';
import { IoTimeout } from '../../core/clock/index.js';
import { errorText } from '../../core/errors/index.js';
import { Err, Ok, type Result } from '../../core/result/index.js';
import type { AttemptResponse } from './attempt.js';
import { MAX_RESPONSE_BYTES } from '../consts.js';
import type { AttemptFault } from '../types.js';

/** The response did not fit into the memory budget of the entry, through no fault of the endpoint. */
export const OVER_BUDGET = { kind: 'over-budget' } as const;

/**
 * Reads a response to its end within `timeoutMs`; a truncated response is an error. `hold` counts further
 * bytes of memory, and returns false if the entry cannot buffer them.
 * @example const body = await readFullResponse(response, 400, hold); if (body.ok) res.end(body.val);
 */
export async function readFullResponse(
  response: AttemptResponse,
  timeoutMs: number,
  hold: (bytes: number) => boolean,
): Promise<Result<Buffer, AttemptFault | typeof OVER_BUDGET>> {
  const collected = new ByteCollector();
  let hasTimedOut = false;
  const timeout = new IoTimeout(() => {
    hasTimedOut = true;
    response.noteSilence(timeoutMs);
    response.close();
  });
  timeout.start(timeoutMs);
  try {
    for await (const chunk of response.body as AsyncIterable<Buffer>) {
      if (collected.size + chunk.length > MAX_RESPONSE_BYTES) {
        response.close();
        return Err({
          kind: 'broke',
          detail: `the response is larger than ${MAX_RESPONSE_BYTES} bytes`,
          overLimit: 'body-limit',
        });
      }
      const before = collected.takenBytes;
      collected.push(chunk);
      if (collected.takenBytes > before && !hold(collected.takenBytes - before)) {
        response.close();
        return Err(OVER_BUDGET);
      }
    }
    return Ok(collected.toBuffer());
  } catch (err) {
    if (hasTimedOut)
      return Err({
        kind: 'silent',
        detail: `response incomplete after ${Math.round(timeoutMs)} ms`,
      });
    return Err({ kind: 'broke', detail: errorText(err) });
  } finally {
    timeout.stop();
  }
}
