/** Classifies how requests ended for their callers, from the `request.end` lines of entries. */
import { MAY_HAVE_RUN_REASONS, type Reason } from '../../core/errors/index.js';
import type { LogPairs } from './log-lines.js';

/** How a request can end for its caller, best first. */
export const REQUEST_ENDS = [
  'in time',
  'late: first event',
  'late: pause',
  'late: came back',
  'refused',
  'refused again',
  'cut',
  'caller left',
  'failed',
] as const;
export type RequestEnd = (typeof REQUEST_ENDS)[number];

/** A request that has ended. */
export interface EndedRequest {
  /** Arrival of the request, Unix ms. */
  readonly arrivedAtMs: number;
  readonly end: RequestEnd;
  /** Value of `outcome` in the log line. */
  readonly reason: string;
}

function classifyAnswered(line: LogPairs): RequestEnd {
  if (line['returning'] === 'true') return 'late: came back';
  const firstMs = Number(line['firstMs'] ?? line['tookMs']);
  if (firstMs > Number(line['targetMs'] ?? Infinity)) return 'late: first event';
  const pauseMs = Number(line['longestPauseMs'] ?? 0);
  return pauseMs > Number(line['gapMs'] ?? Infinity) ? 'late: pause' : 'in time';
}

function classifyEnd(line: LogPairs): RequestEnd {
  const outcome = line['outcome'] ?? '';
  if (outcome === 'answered') return classifyAnswered(line);
  if (outcome === 'cut') return 'cut';
  if (outcome === 'gone') return 'caller left';
  if (MAY_HAVE_RUN_REASONS.has(outcome as Reason)) return 'failed';
  return line['returning'] === 'true' ? 'refused again' : 'refused';
}

/**
 * Decodes a `request.end` line; undefined for any other line.
 * @example readEndedRequest({ event: 'request.end', outcome: 'busy', time: '…', tookMs: '60' })?.end // 'refused'
 */
export function readEndedRequest(line: LogPairs): EndedRequest | undefined {
  if (line['event'] !== 'request.end') return undefined;
  const endedAtMs = Date.parse(line['time'] ?? '');
  if (Number.isNaN(endedAtMs)) return undefined;
  return {
    arrivedAtMs: endedAtMs - Number(line['tookMs'] ?? 0),
    end: classifyEnd(line),
    reason: line['outcome'] ?? '',
  };
}
