/** Tables of where worth went: by span of time, and by reason. */
import type { SwitchOutcome } from '../../core/groups/index.js';
import { ENDS, type End, type RequestEndLine } from './ends.js';

/** What one span of time held. */
export interface Span {
  /** Start of the span, s after the first request. */
  readonly fromS: number;
  readonly counts: ReadonlyMap<End, number>;
  /** Longest step-time skew that a coordinator saw, and streams and limit that entries told; NaN without any. */
  readonly skew: number;
  readonly running: number;
  readonly limit: number;
  /** Longest mean time of a step that a coordinator saw, ms; NaN without any. */
  readonly stepMs: number;
  /** Rounds of coordinators that brought a new map into use, and rounds that ended without. */
  readonly maps: number;
  readonly failedRounds: number;
}

/** A figure of the group that some line told. */
export interface GroupFigure {
  readonly atMs: number;
  readonly skew?: number | undefined;
  readonly running?: number | undefined;
  readonly limit?: number | undefined;
  readonly stepMs?: number | undefined;
  /** How a round of a coordinator ended. */
  readonly round?: SwitchOutcome['kind'] | undefined;
}

const MS_PER_S = 1000;

function most(values: readonly (number | undefined)[]): number {
  const told = values.filter((value) => value !== undefined);
  return told.length > 0 ? Math.max(...told) : Number.NaN;
}

function roundsThat(figures: readonly GroupFigure[], ended: SwitchOutcome['kind']): number {
  return figures.filter(({ round }) => round === ended).length;
}

/**
 * Ends and figures by span, in order of time.
 * @example spansOf(ends, figures, 2)[0]?.counts.get('in time')
 */
export function spansOf(
  ends: readonly RequestEndLine[],
  figures: readonly GroupFigure[],
  spanS: number,
): Span[] {
  const startMs = ends.reduce((least, end) => Math.min(least, end.cameAtMs), Infinity);
  const endMs = ends.reduce((last, end) => Math.max(last, end.cameAtMs), -Infinity);
  const spanMs = spanS * MS_PER_S;
  const count = Math.floor((endMs - startMs) / spanMs) + 1;
  const counts = Array.from({ length: count }, () => new Map<End, number>());
  const told = Array.from({ length: count }, (): GroupFigure[] => []);
  const indexAt = (atMs: number): number => Math.floor((atMs - startMs) / spanMs);
  for (const end of ends) {
    const of = counts[indexAt(end.cameAtMs)];
    of?.set(end.end, (of.get(end.end) ?? 0) + 1);
  }
  for (const figure of figures) told[indexAt(figure.atMs)]?.push(figure);
  return counts.map((of, i) => {
    const seen = told[i] ?? [];
    return {
      fromS: (i * spanMs) / MS_PER_S,
      counts: of,
      skew: most(seen.map((figure) => figure.skew)),
      running: most(seen.map((figure) => figure.running)),
      limit: most(seen.map((figure) => figure.limit)),
      stepMs: most(seen.map((figure) => figure.stepMs)),
      maps: roundsThat(seen, 'switched'),
      failedRounds: roundsThat(seen, 'blocked') + roundsThat(seen, 'aborted'),
    };
  });
}

function cell(value: number, digits = 0): string {
  return Number.isNaN(value) ? '-' : value.toFixed(digits);
}

function table(rows: readonly (readonly string[])[]): string {
  const widths = (rows[0] ?? []).map((_, i) =>
    Math.max(...rows.map((row) => (row[i] ?? '').length)),
  );
  return rows
    .map((row) => row.map((text, i) => text.padStart(widths[i] ?? 0)).join('  '))
    .join('\n');
}

/** One line a span, for a person. */
export function printSpans(spans: readonly Span[]): string {
  const head = ['from s', ...ENDS, 'skew', 'streams', 'limit', 'step ms', 'maps', 'failed rounds'];
  const rows = spans.map((span) => [
    span.fromS.toFixed(0),
    ...ENDS.map((end) => String(span.counts.get(end) ?? 0)),
    cell(span.skew, 2),
    cell(span.running),
    cell(span.limit),
    cell(span.stepMs),
    cell(span.maps),
    cell(span.failedRounds),
  ]);
  return table([head, ...rows]);
}

/** One line for each end and reason, most frequent first. */
export function printReasons(ends: readonly RequestEndLine[]): string {
  const counts = new Map<string, number>();
  for (const { end, reason } of ends) {
    const name = reason === '' || end === reason ? end : `${end} (${reason})`;
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  const rows = [...counts].sort((a, b) => b[1] - a[1]);
  return table([
    ['share', 'requests', 'end'],
    ...rows.map(([name, count]) => [(count / ends.length).toFixed(3), String(count), name]),
  ]);
}
