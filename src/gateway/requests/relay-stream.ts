/**
 * Relays event streams: each event is accepted immediately, in order and exactly once. The endpoint is
 * read at its own speed, however slowly the caller reads. A broken stream may be resumed on another
 * endpoint.
 */
import { errorText } from '../../core/errors/index.js';
import type { AttemptResponse } from './attempt.js';
import { EventSplitter, type StreamEvent } from './event-splitter.js';
import type { ResponseWriter } from './response-writer.js';
import { SilenceTimeout } from './silence-timeout.js';

/** Progress of a caller's stream over all attempts. */
export interface StreamProgress {
  /** Id of the last event accepted for the caller; undefined before the first. */
  lastEventId: number | undefined;
  /** Number of events accepted for the caller. */
  events: number;
  /** Monotonic time of the last event, ms. */
  lastEventAtMs: number;
  /** Longest pause between two events, ms. */
  longestPauseMs: number;
}

/** How one attempt's part of a stream ended. */
export type StreamOutcome =
  | { readonly kind: 'whole' }
  | { readonly kind: 'broke'; readonly detail: string }
  | { readonly kind: 'silent'; readonly detail: string }
  | { readonly kind: 'slow'; readonly detail: string };

/** Options of relaying one attempt's part of a stream. */
export interface StreamRelayOptions {
  readonly writer: Pick<ResponseWriter, 'writeHead' | 'write'>;
  readonly progress: StreamProgress;
  readonly nowMs: () => number;
  /** Timeout between two events while the stream can go on elsewhere, ms. */
  readonly idleTimeoutMs: number;
  /** Time until the deadline of the request, ms. */
  readonly remainingMs: () => number;
  /** Whether to resume the stream on another endpoint; called after each chunk. */
  readonly shouldSwitchEndpoint: () => boolean;
  /** Whether the stream can go on elsewhere if this attempt is ended. */
  readonly mayEnd: () => boolean;
  /** Called at the first event of each attempt. */
  readonly onFirstEvent: () => void;
  /** Called at each later event with the pause before it, ms. */
  readonly onPause: (pauseMs: number) => void;
}

/** Whether an event is the next one for the caller; ids are consecutive. */
function isNextEvent(event: StreamEvent, lastEventId: number | undefined): boolean {
  if (event.id === undefined) return false;
  return lastEventId === undefined || event.id === lastEventId + 1;
}

/** Records an event that is accepted for the caller. */
function acceptEvent(
  options: StreamRelayOptions,
  response: AttemptResponse,
  event: StreamEvent,
): void {
  const { writer, progress } = options;
  const nowMs = options.nowMs();
  if (progress.events === 0) writer.writeHead(response.head.status, response.head.headers);
  else {
    const pauseMs = nowMs - progress.lastEventAtMs;
    progress.longestPauseMs = Math.max(progress.longestPauseMs, pauseMs);
  }
  progress.events += 1;
  progress.lastEventId = event.id;
  progress.lastEventAtMs = nowMs;
}

/** Writes events that arrived together. */
function writeEvents(options: StreamRelayOptions, accepted: readonly Buffer[]): void {
  const [first] = accepted;
  if (first) options.writer.write(accepted.length === 1 ? first : Buffer.concat(accepted));
}

/**
 * Forwards the events of one attempt until the stream ends, breaks or stalls.
 * @example const outcome = await relayStream(options, response);
 */
export async function relayStream(
  options: StreamRelayOptions,
  response: AttemptResponse,
): Promise<StreamOutcome> {
  const { progress } = options;
  const splitter = new EventSplitter();
  let timeoutDetail = '';
  let isFirst = true;
  const timeout = new SilenceTimeout({
    idleMs: options.idleTimeoutMs,
    remainingMs: options.remainingMs,
    mayEnd: options.mayEnd,
    onSilence: response.noteSilence,
    end: (silentMs) => {
      timeoutDetail = `no event within ${Math.round(silentMs)} ms`;
      response.close();
    },
  });
  timeout.restart();
  try {
    for await (const chunk of response.body as AsyncIterable<Buffer>) {
      const accepted: Buffer[] = [];
      for (const event of splitter.push(chunk)) {
        if (!isNextEvent(event, progress.lastEventId)) {
          writeEvents(options, accepted);
          response.close();
          return {
            kind: 'broke',
            detail: `event ${event.id ?? 'without id'} after ${progress.lastEventId ?? 'none'}`,
          };
        }
        if (isFirst) options.onFirstEvent();
        else options.onPause(options.nowMs() - progress.lastEventAtMs);
        isFirst = false;
        acceptEvent(options, response, event);
        accepted.push(event.bytes);
      }
      writeEvents(options, accepted);
      if (progress.events > 0 && options.shouldSwitchEndpoint()) {
        response.close();
        return { kind: 'slow', detail: 'the endpoint is slow' };
      }
      timeout.restart();
    }
  } catch (err) {
    if (timeoutDetail) return { kind: 'silent', detail: timeoutDetail };
    return { kind: 'broke', detail: errorText(err) };
  } finally {
    timeout.stop();
  }
  if (splitter.pendingBytes > 0)
    return { kind: 'broke', detail: 'the stream ended inside an event' };
  if (progress.events === 0) return { kind: 'broke', detail: 'the stream ended without an event' };
  return { kind: 'whole' };
}
