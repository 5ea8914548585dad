/** Tables of how requests ended: by time span, and by reason. */
import type { SwitchOutcome } from '../../core/groups/index.js';
import { REQUEST_ENDS, type EndedRequest, type RequestEnd } from './request-ends.js';

/** Requests and group samples of one time span. */
export interface TimeSpan {
  /** Start of the span, s after the first request. */
  readonly fromS: number;
  readonly counts: ReadonlyMap<RequestEnd, number>;
  /** Highest step-time skew, streams in flight and limit in `group.seen` lines; NaN without any. */
  readonly skew: number;
  readonly running: number;
  readonly limit: number;
  /** Highest mean step time in `group.seen` lines, ms; NaN without any. */
  readonly stepMs: number;
  /** Switch rounds that brought a new map into use, and those that were blocked or aborted. */
  readonly maps: number;
  readonly failedRounds: number;
}

/** Values of one log line about a group. */
export interface GroupSample {
  readonly atMs: number;
  readonly skew?: number | undefined;
  readonly running?: number | undefined;
  readonly limit?: number | undefined;
  readonly stepMs?: number | undefined;
  /** How a switch round ended. */
  readonly roundResult?: SwitchOutcome['kind'] | undefined;
}

const MS_PER_S = 1000;

function maxOf(values: readonly (number | undefined)[]): number {
  const known = values.filter((value) => value !== undefined);
  return known.length > 0 ? Math.max(...known) : Number.NaN;
}

function countRounds(samples: readonly GroupSample[], result: SwitchOutcome['kind']): number {
  return samples.filter(({ roundResult }) => roundResult === result).length;
}

/**
 * Counts request ends and aggregates group samples by time span, in chronological order.
 * @example aggregateBySpan(requests, samples, 2)[0]?.counts.get('in time')
 */
export function aggregateBySpan(
  requests: readonly EndedRequest[],
  samples: readonly GroupSample[],
  spanS: number,
): TimeSpan[] {
  const startMs = requests.reduce(
    (earliest, request) => Math.min(earliest, request.arrivedAtMs),
    Infinity,
  );
  const endMs = requests.reduce(
    (latest, request) => Math.max(latest, request.arrivedAtMs),
    -Infinity,
  );
  const spanMs = spanS * MS_PER_S;
  const count = Math.floor((endMs - startMs) / spanMs) + 1;
  const countsBySpan = Array.from({ length: count }, () => new Map<RequestEnd, number>());
  const samplesBySpan = Array.from({ length: count }, (): GroupSample[] => []);
  const indexAt = (atMs: number): number => Math.floor((atMs - startMs) / spanMs);
  for (const request of requests) {
    const spanCounts = countsBySpan[indexAt(request.arrivedAtMs)];
    spanCounts?.set(request.end, (spanCounts.get(request.end) ?? 0) + 1);
  }
  for (const sample of samples) samplesBySpan[indexAt(sample.atMs)]?.push(sample);
  return countsBySpan.map((spanCounts, i) => {
    const spanSamples = samplesBySpan[i] ?? [];
    return {
      fromS: (i * spanMs) / MS_PER_S,
      counts: spanCounts,
      skew: maxOf(spanSamples.map((sample) => sample.skew)),
      running: maxOf(spanSamples.map((sample) => sample.running)),
      limit: maxOf(spanSamples.map((sample) => sample.limit)),
      stepMs: maxOf(spanSamples.map((sample) => sample.stepMs)),
      maps: countRounds(spanSamples, 'switched'),
      failedRounds: countRounds(spanSamples, 'blocked') + countRounds(spanSamples, 'aborted'),
    };
  });
}

function formatCell(value: number, digits = 0): string {
  return Number.isNaN(value) ? '-' : value.toFixed(digits);
}

function formatTable(rows: readonly (readonly string[])[]): string {
  const widths = (rows[0] ?? []).map((_, i) =>
    Math.max(...rows.map((row) => (row[i] ?? '').length)),
  );
  return rows
    .map((row) => row.map((text, i) => text.padStart(widths[i] ?? 0)).join('  '))
    .join('\n');
}

/** Formats a table with one row per time span. */
export function formatSpans(spans: readonly TimeSpan[]): string {
  const header = [
    'from s',
    ...REQUEST_ENDS,
    'skew',
    'streams',
    'limit',
    'step ms',
    'maps',
    'failed rounds',
  ];
  const rows = spans.map((span) => [
    span.fromS.toFixed(0),
    ...REQUEST_ENDS.map((end) => String(span.counts.get(end) ?? 0)),
    formatCell(span.skew, 2),
    formatCell(span.running),
    formatCell(span.limit),
    formatCell(span.stepMs),
    formatCell(span.maps),
    formatCell(span.failedRounds),
  ]);
  return formatTable([header, ...rows]);
}

/** Formats a table with one row per end and reason, most frequent first. */
export function formatReasons(requests: readonly EndedRequest[]): string {
  const counts = new Map<string, number>();
  for (const { end, reason } of requests) {
    const name = reason === '' || end === reason ? end : `${end} (${reason})`;
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  const rows = [...counts].sort((a, b) => b[1] - a[1]);
  return formatTable([
    ['share', 'requests', 'end'],
    ...rows.map(([name, count]) => [(count / requests.length).toFixed(3), String(count), name]),
  ]);
}
