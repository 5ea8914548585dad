/** Parses `POST /v1/chat/completions`, compatible with the OpenAI API so that existing clients work. */
import { Err, Ok, type Result } from '../core/result/index.js';
import type { Refusal } from '../gateway/index.js';
import { BYTES_PER_TOKEN, DEFAULT_OUTPUT_TOKENS } from './consts.js';

/** The members of a chat request that routing and admission use. */
export interface ChatRequest {
  readonly model: string;
  readonly isStream: boolean;
  /** Estimated tokens of prompt and response together. */
  readonly tokens: number;
}

function invalidBody(detail: string): Result<never, Refusal> {
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
 * Parses and validates the body of a chat request.
 * @example parseChatRequest(Buffer.from('{"model":"m","messages":[{"content":"x"}]}')).unwrap().isStream // false
 */
export function parseChatRequest(body: Buffer): Result<ChatRequest, Refusal> {
  let data: unknown;
  try {
    data = JSON.parse(body.toString('utf8'));
  } catch {
    return invalidBody('The body is not JSON.');
  }
  if (typeof data !== 'object' || data === null)
    return invalidBody('The body is not a JSON object.');
  const fields = data as Record<string, unknown>;
  const { model, messages } = fields;
  const maxOutputTokens =
    fields['max_completion_tokens'] ?? fields['max_tokens'] ?? DEFAULT_OUTPUT_TOKENS;
  if (typeof model !== 'string') return invalidBody('Member "model" is not a string.');
  if (!Array.isArray(messages) || messages.length === 0)
    return invalidBody('Member "messages" is not a non-empty array.');
  if (!Number.isInteger(maxOutputTokens) || Number(maxOutputTokens) <= 0)
    return invalidBody('Member "max_tokens" or "max_completion_tokens" is not a positive integer.');
  const promptTokens = Math.ceil(promptBytes(messages) / BYTES_PER_TOKEN);
  return Ok({
    model,
    isStream: fields['stream'] === true,
    tokens: promptTokens + Number(maxOutputTokens),
  });
}
