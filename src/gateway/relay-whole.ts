/** Answers that are not streamed: read whole, checked, and only then passed on. */
import { errorText } from '../core/errors/index.js';
import { Err, Ok, type Result } from '../core/result/index.js';
import type { Answer } from './attempt.js';
import { MAX_ANSWER_BYTES } from './consts.js';
import type { AttemptFault } from './types.js';

/**
 * Reads an answer to its end within `withinMs`; an answer that is cut short is none.
 * @example const body = await readWhole(answer, 400); if (body.ok) res.end(body.val);
 */
export async function readWhole(
  answer: Answer,
  withinMs: number,
): Promise<Result<Buffer, AttemptFault>> {
  const pieces: Buffer[] = [];
  let size = 0;
  let late = false;
  const timer = setTimeout(() => {
    late = true;
    answer.dropSilent(withinMs);
  }, withinMs);
  try {
    for await (const piece of answer.body as AsyncIterable<Buffer>) {
      size += piece.length;
      if (size > MAX_ANSWER_BYTES) {
        answer.drop();
        return Err({
          kind: 'broke',
          detail: `the answer is larger than ${MAX_ANSWER_BYTES} bytes`,
        });
      }
      pieces.push(piece);
    }
    return Ok(Buffer.concat(pieces));
  } catch (err) {
    if (late)
      return Err({ kind: 'silent', detail: `no whole answer within ${Math.round(withinMs)} ms` });
    return Err({ kind: 'broke', detail: errorText(err) });
  } finally {
    clearTimeout(timer);
  }
}
