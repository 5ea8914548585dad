/** POST /v1/chat/completions: the shape that model clients speak already. */
import { Err, Ok, type Result } from '../core/result/index.js';
import type { Refusal } from '../gateway/index.js';
import { BYTES_PER_TOKEN, DEFAULT_OUTPUT_TOKENS } from './consts.js';

/** What a chat request asks for. */
export interface ChatBody {
  readonly model: string;
  readonly isStream: boolean;
  /** Estimated tokens of prompt and answer together. */
  readonly tokens: number;
}

function invalid(detail: string): Result<never, Refusal> {
  return Err({ reason: 'body-invalid', detail });
}

function promptBytes(messages: readonly unknown[]): number {
  return messages.reduce<number>((sum, message) => {
    const content = (message as { content?: unknown } | null)?.content ?? '';
    const text = typeof content === 'string' ? content : JSON.stringify(content);
    return sum + Buffer.byteLength(text);
  }, 0);
}

/**
 * Reads the body of a chat request.
 * @example parseChat(Buffer.from('{"model":"m","messages":[{"content":"x"}]}')).unwrap().isStream // false
 */
export function parseChat(body: Buffer): Result<ChatBody, Refusal> {
  let data: unknown;
  try {
    data = JSON.parse(body.toString('utf8'));
  } catch {
    return invalid('The body is not JSON.');
  }
  if (typeof data !== 'object' || data === null) return invalid('The body is not a JSON object.');
  const fields = data as Record<string, unknown>;
  const { model, messages } = fields;
  const limit = fields['max_completion_tokens'] ?? fields['max_tokens'] ?? DEFAULT_OUTPUT_TOKENS;
  if (typeof model !== 'string') return invalid('Member "model" is not a string.');
  if (!Array.isArray(messages) || messages.length === 0)
    return invalid('Member "messages" is not a list with entries.');
  if (!Number.isInteger(limit) || Number(limit) <= 0)
    return invalid('Member "max_tokens" is not a positive whole number.');
  const promptTokens = Math.ceil(promptBytes(messages) / BYTES_PER_TOKEN);
  return Ok({ model, isStream: fields['stream'] === true, tokens: promptTokens + Number(limit) });
}
