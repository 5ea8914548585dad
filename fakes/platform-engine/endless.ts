/** Responses without end: an endpoint writes such bytes until its peer closes the connection, or for some seconds. */
import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { formatUnframed, type RawAnswer } from './surplus-answers.js';

/** Part of a response that has no end, and whether its bytes flood or trickle. */
export type EndlessFault =
  | 'endless-head'
  | 'endless-interim'
  | 'endless-trailers'
  | 'endless-chunks'
  | 'endless-body'
  | 'endless-event'
  | 'trickling-event'
  | 'endless-comments'
  | 'endless-rejection'
  | 'trickling-rejection';

/** Time after which the endpoint closes the connection, ms. */
const MAX_ENDLESS_MS = 3000;
/** Bytes of one write of a flood, and the pause after it, ms: the endpoints share a process. */
const FLOOD_BYTES = 32 * 1024;
const FLOOD_PAUSE_MS = 2;
const TRICKLE_PAUSE_MS = 50;

const NOT_EXECUTED = { 'x-not-executed': '1' };
const CHUNKED = { 'transfer-encoding': 'chunked' };
const EVENTS = { ...CHUNKED, 'content-type': 'text/event-stream' };
const FILLER = 'x'.repeat(1000);
const chunkOf = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;

/** Head and first bytes of each kind, by its request ID and signature, and what follows without end. */
interface Kind {
  readonly status?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  readonly unit: string;
  readonly trickles?: boolean;
}

const EVENT_START = chunkOf('id: 1\ndata: ');
const KINDS: Readonly<Record<EndlessFault, Kind>> = {
  'endless-head': { unit: `x-filler: ${FILLER}\r\n` },
  'endless-interim': { unit: 'HTTP/1.1 102 Processing\r\n\r\n' },
  'endless-trailers': { headers: CHUNKED, body: '0\r\n', unit: `x-filler: ${FILLER}\r\n` },
  'endless-chunks': { headers: CHUNKED, unit: chunkOf(FILLER) },
  'endless-body': { unit: FILLER },
  'endless-event': { headers: EVENTS, body: EVENT_START, unit: chunkOf(FILLER) },
  'trickling-event': { headers: EVENTS, body: EVENT_START, unit: chunkOf('x'), trickles: true },
  'endless-comments': { headers: EVENTS, unit: chunkOf(`: ${FILLER}\n\n`) },
  'endless-rejection': {
    status: '503 Service Unavailable',
    headers: { ...CHUNKED, ...NOT_EXECUTED },
    unit: chunkOf(FILLER),
  },
  'trickling-rejection': {
    status: '503 Service Unavailable',
    headers: { ...CHUNKED, ...NOT_EXECUTED },
    unit: chunkOf('x'),
    trickles: true,
  },
};

/** Whether a fault is one of a response without end. */
export const isEndless = (fault: string | undefined): fault is EndlessFault =>
  fault !== undefined && fault in KINDS;

/** Whether the response says that the request has not run. */
export const isEndlessRejection = (fault: EndlessFault): boolean =>
  KINDS[fault].status !== undefined;

/** The bytes before those without end. */
function startOf(fault: EndlessFault, ownHeaders: RawAnswer['headers']): string {
  const { status = '200 OK', headers = {}, body = '' } = KINDS[fault];
  if (fault === 'endless-interim') return '';
  const start = formatUnframed({ status, headers: { ...ownHeaders, ...headers }, body });
  return fault === 'endless-head' ? start.slice(0, -'\r\n'.length) : start;
}

/**
 * Sends a response without end; resolves once the connection is closed.
 * @example await sendEndless(socket, 'endless-body', { 'x-request-id': 'q-1' });
 */
export async function sendEndless(
  socket: Socket,
  fault: EndlessFault,
  headers: RawAnswer['headers'],
): Promise<void> {
  const { unit, trickles = false } = KINDS[fault];
  const piece = trickles ? unit : unit.repeat(Math.ceil(FLOOD_BYTES / unit.length));
  const untilMs = performance.now() + MAX_ENDLESS_MS;
  socket.write(startOf(fault, headers));
  while (!socket.destroyed && performance.now() < untilMs) {
    if (socket.writableLength < FLOOD_BYTES) socket.write(piece);
    await sleep(trickles ? TRICKLE_PAUSE_MS : FLOOD_PAUSE_MS);
  }
  socket.destroy();
}
