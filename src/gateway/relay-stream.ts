/** Streams: each event is passed on as it comes, in order and once; what breaks may go on elsewhere. */
import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import { errorText } from '../core/errors/index.js';
import type { Answer } from './attempt.js';
import { EventSplitter, type StreamEvent } from './events.js';

/** One caller's stream, over all attempts that fed it. */
export interface StreamProgress {
  /** Id of the last event that the caller has; undefined before the first. */
  lastId: number | undefined;
  /** Events written to the caller. */
  events: number;
  /** Monotonic time of the last event, ms. */
  lastAtMs: number;
  /** Longest pause between two events, ms. */
  longestPauseMs: number;
}

/** How one connection's part of a stream ended. */
export type StreamEnd =
  | { readonly kind: 'whole' }
  | { readonly kind: 'broke'; readonly detail: string }
  | { readonly kind: 'silent'; readonly detail: string }
  | { readonly kind: 'slow'; readonly detail: string };

/** What relaying needs. */
export interface StreamRelay {
  readonly res: ServerResponse;
  readonly progress: StreamProgress;
  readonly nowMs: () => number;
  /** Longest time without an event, ms. */
  readonly silenceMs: number;
  /** Time after which the stream is cut, whatever comes, ms. */
  readonly leftMs: () => number;
  /** Whether the stream had better go on at another endpoint; asked after each event. */
  readonly shouldMove: () => boolean;
  /** Called at the first event of each connection, with the time the stream had waited for it. */
  readonly onFirst: () => void;
  /** Called at each later event with the pause before it, ms. */
  readonly onPause: (pauseMs: number) => void;
}

/** Whether an event may follow what the caller has; ids rise one by one. */
function isNext(event: StreamEvent, lastId: number | undefined): boolean {
  if (event.id === undefined) return false;
  return lastId === undefined || event.id === lastId + 1;
}

async function writeEvent(relay: StreamRelay, answer: Answer, event: StreamEvent): Promise<void> {
  const { res, progress } = relay;
  const nowMs = relay.nowMs();
  if (progress.events === 0) res.writeHead(answer.head.status, answer.head.headers);
  else {
    const pauseMs = nowMs - progress.lastAtMs;
    progress.longestPauseMs = Math.max(progress.longestPauseMs, pauseMs);
  }
  progress.events += 1;
  progress.lastId = event.id;
  const more = res.write(event.bytes);
  if (!more && !res.destroyed) await Promise.race([once(res, 'drain'), once(res, 'close')]);
}

/**
 * Passes one connection's events on until it ends, breaks or falls silent.
 * @example const end = await relayStream(relay, answer); if (end.kind === 'whole') res.end();
 */
export async function relayStream(relay: StreamRelay, answer: Answer): Promise<StreamEnd> {
  const { progress } = relay;
  const splitter = new EventSplitter();
  let silent = '';
  let first = true;
  const arm = (): NodeJS.Timeout => {
    const ms = Math.max(1, Math.min(relay.silenceMs, relay.leftMs()));
    return setTimeout(() => {
      silent = `no event within ${Math.round(ms)} ms`;
      answer.dropSilent(ms);
    }, ms);
  };
  let timer = arm();
  try {
    for await (const piece of answer.body as AsyncIterable<Buffer>) {
      for (const event of splitter.push(piece)) {
        if (!isNext(event, progress.lastId)) {
          answer.drop();
          return {
            kind: 'broke',
            detail: `event ${event.id ?? 'without id'} after ${progress.lastId ?? 'none'}`,
          };
        }
        if (first) relay.onFirst();
        else relay.onPause(relay.nowMs() - progress.lastAtMs);
        first = false;
        await writeEvent(relay, answer, event);
        progress.lastAtMs = relay.nowMs();
      }
      if (progress.events > 0 && relay.shouldMove()) {
        answer.drop();
        return { kind: 'slow', detail: 'the endpoint is slow' };
      }
      clearTimeout(timer);
      timer = arm();
    }
  } catch (err) {
    if (silent) return { kind: 'silent', detail: silent };
    return { kind: 'broke', detail: errorText(err) };
  } finally {
    clearTimeout(timer);
  }
  if (splitter.pendingBytes > 0)
    return { kind: 'broke', detail: 'the stream ended inside an event' };
  if (progress.events === 0) return { kind: 'broke', detail: 'the stream ended without an event' };
  return { kind: 'whole' };
}
