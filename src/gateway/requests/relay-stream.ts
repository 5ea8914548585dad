/**
 * Relays event streams: each event is accepted immediately, in order and exactly once. The endpoint is
 * read at its own speed, however slowly the caller reads. A broken stream may be resumed on another
 * endpoint.
 */
import { errorText } from '../../core/errors/index.js';
import type { AttemptResponse } from './attempt.js';
import { EventSplitter, type StreamEvent } from './event-splitter.js';
import type { ResponseWriter } from './response-writer.js';
import { MAX_EVENT_BYTES } from '../consts.js';
import type { EndpointMisbehaviour } from '../types.js';
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
  | { readonly kind: 'broke'; readonly detail: string; readonly overLimit?: EndpointMisbehaviour }
  /** An incomplete event did not fit into the memory budget, through no fault of the endpoint. */
  | { readonly kind: 'over-budget' }
  | { readonly kind: 'silent'; readonly detail: string }
  | { readonly kind: 'slow'; readonly detail: string };

/** Options of relaying one attempt's part of a stream. */
export interface StreamRelayOptions {
  readonly writer: Pick<ResponseWriter, 'writeHead' | 'write' | 'hold' | 'release'>;
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

/** Counts the bytes of an incomplete event against the memory budget. */
class PendingBytes {
  private held = 0;

  constructor(private readonly writer: StreamRelayOptions['writer']) {}

  /** Counts `bytes` from now on; false if they do not fit. */
  set(bytes: number): boolean {
    const change = bytes - this.held;
    this.held = bytes;
    if (change < 0) this.writer.release(-change);
    return change <= 0 || this.writer.hold(change);
  }
}

function tooLarge(response: AttemptResponse): StreamOutcome {
  response.close();
  const detail = `an event of the stream is larger than ${MAX_EVENT_BYTES} bytes`;
  return { kind: 'broke', detail, overLimit: 'event-limit' };
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
  const pending = new PendingBytes(options.writer);
  let timeoutDetail = '';
  let isFirst = true;
  let hasSentBytes = false;
  const timeout = new SilenceTimeout({
    idleMs: options.idleTimeoutMs,
    remainingMs: options.remainingMs,
    mayEnd: options.mayEnd,
    onSilence: (silentMs) => {
      // Bytes that complete no event are no progress, but show that the connection works.
      if (!hasSentBytes) response.noteSilence(silentMs);
      hasSentBytes = false;
    },
    end: (silentMs) => {
      timeoutDetail = `no event within ${Math.round(silentMs)} ms`;
      response.close();
    },
  });
  timeout.restart();
  try {
    for await (const chunk of response.body as AsyncIterable<Buffer>) {
      const accepted: Buffer[] = [];
      hasSentBytes = true;
      for (const event of splitter.split(chunk)) {
        if (event.bytes.length > MAX_EVENT_BYTES) {
          writeEvents(options, accepted);
          return tooLarge(response);
        }
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
      if (splitter.pendingBytes > MAX_EVENT_BYTES) return tooLarge(response);
      if (!pending.set(splitter.pendingBytes)) {
        response.close();
        return { kind: 'over-budget' };
      }
      if (progress.events > 0 && options.shouldSwitchEndpoint()) {
        response.close();
        return { kind: 'slow', detail: 'the endpoint is slow' };
      }
      if (accepted.length > 0) timeout.restart();
    }
  } catch (err) {
    if (timeoutDetail) return { kind: 'silent', detail: timeoutDetail };
    return { kind: 'broke', detail: errorText(err) };
  } finally {
    timeout.stop();
    pending.set(0);
  }
  if (splitter.pendingBytes > 0)
    return { kind: 'broke', detail: 'the stream ended inside an event' };
  if (progress.events === 0) return { kind: 'broke', detail: 'the stream ended without an event' };
  return { kind: 'whole' };
}
