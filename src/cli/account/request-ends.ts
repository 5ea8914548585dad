/** How each request ended for its caller, from the line that every request leaves. */
import { MAY_HAVE_RUN_REASONS, type Reason } from '../../core/errors/index.js';
import type { LogPairs } from './log-lines.js';

/** What became of a request, best first. */
export const ENDS = [
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
export type End = (typeof ENDS)[number];

/** One request's end. */
export interface RequestEndLine {
  /** Time of day at which the request came, ms. */
  readonly cameAtMs: number;
  readonly end: End;
  /** Why it was refused or failed, in the words of the log. */
  readonly reason: string;
}

function answeredEnd(line: LogPairs): End {
  if (line['returning'] === 'true') return 'late: came back';
  const firstMs = Number(line['firstMs'] ?? line['tookMs']);
  if (firstMs > Number(line['targetMs'] ?? Infinity)) return 'late: first event';
  const pauseMs = Number(line['longestPauseMs'] ?? 0);
  return pauseMs > Number(line['gapMs'] ?? Infinity) ? 'late: pause' : 'in time';
}

function endOf(line: LogPairs): End {
  const outcome = line['outcome'] ?? '';
  if (outcome === 'answered') return answeredEnd(line);
  if (outcome === 'cut') return 'cut';
  if (outcome === 'gone') return 'caller left';
  if (MAY_HAVE_RUN_REASONS.has(outcome as Reason)) return 'failed';
  return line['returning'] === 'true' ? 'refused again' : 'refused';
}

/**
 * The end that a log line tells; undefined for any other line.
 * @example readEnd({ event: 'request.end', outcome: 'busy', time: '…', tookMs: '60' })?.end // 'refused'
 */
export function readEnd(line: LogPairs): RequestEndLine | undefined {
  if (line['event'] !== 'request.end') return undefined;
  const endedAtMs = Date.parse(line['time'] ?? '');
  if (Number.isNaN(endedAtMs)) return undefined;
  return {
    cameAtMs: endedAtMs - Number(line['tookMs'] ?? 0),
    end: endOf(line),
    reason: line['outcome'] ?? '',
  };
}
