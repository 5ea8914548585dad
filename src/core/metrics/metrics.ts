/** Counters, gauges and histograms of one daemon, in the Prometheus text format. */
import { build, type Histogram } from 'hdr-histogram-js';

/** Label names and values of one series. */
export type Labels = Record<string, string>;

/** Quantiles exposed for every histogram. */
const QUANTILES = [0.5, 0.95, 0.99, 1] as const;

function seriesKey(name: string, labels: Labels): string {
  const pairs = Object.entries(labels)
    .map(([key, value]) => `${key}="${value.replace(/["\\\n]/g, '_')}"`)
    .join(',');
  return pairs ? `${name}{${pairs}}` : name;
}

function withLabel(series: string, label: string): string {
  if (!series.endsWith('}')) return `${series}{${label}}`;
  return `${series.slice(0, -1)},${label}}`;
}

function withSuffix(series: string, suffix: string): string {
  const brace = series.indexOf('{');
  if (brace < 0) return series + suffix;
  return series.slice(0, brace) + suffix + series.slice(brace);
}

/** Registry of all series of one daemon. */
export class Metrics {
  private readonly counters = new Map<string, number>();
  private readonly gauges = new Map<string, () => number>();
  private readonly histograms = new Map<string, { values: Histogram; sum: number }>();

  /**
   * Increments a counter.
   * @example metrics.count('refusals_total', { reason: 'busy' });
   */
  count(name: string, labels: Labels = {}, by = 1): void {
    const key = seriesKey(name, labels);
    this.counters.set(key, (this.counters.get(key) ?? 0) + by);
  }

  /** Returns a counter's value, 0 if it was never incremented. */
  value(name: string, labels: Labels = {}): number {
    return this.counters.get(seriesKey(name, labels)) ?? 0;
  }

  /** Registers a gauge, whose value is read on each exposition. */
  gauge(name: string, read: () => number): void {
    this.gauges.set(name, read);
  }

  /**
   * Records a duration in microseconds. Negative and NaN values only increment
   * `bad_observations_total`.
   * @example metrics.observe('first_byte_us', 1250);
   */
  observe(name: string, microseconds: number, labels: Labels = {}): void {
    if (!(microseconds >= 0)) return this.count('bad_observations_total', { name });
    const key = seriesKey(name, labels);
    const entry = this.histograms.get(key) ?? { values: buildHistogram(), sum: 0 };
    entry.values.recordValue(Math.round(microseconds));
    entry.sum += microseconds;
    this.histograms.set(key, entry);
  }

  /** Returns a quantile of a histogram in microseconds; NaN when it has no observations. */
  quantile(name: string, quantile: number, labels: Labels = {}): number {
    const entry = this.histograms.get(seriesKey(name, labels));
    return entry ? entry.values.getValueAtPercentile(quantile * 100) : Number.NaN;
  }

  /** Returns the counters as a plain object. */
  snapshot(): Record<string, number> {
    return Object.fromEntries(this.counters);
  }

  /** Returns all series in the Prometheus text exposition format. */
  print(): string {
    const lines: string[] = [];
    for (const [key, value] of this.counters) lines.push(`harrierglade_${key} ${value}`);
    for (const [key, read] of this.gauges) lines.push(`harrierglade_${key} ${read()}`);
    for (const [key, { values, sum }] of this.histograms) {
      for (const q of QUANTILES) {
        const value = values.getValueAtPercentile(q * 100);
        lines.push(`harrierglade_${withLabel(key, `quantile="${q}"`)} ${value}`);
      }
      lines.push(`harrierglade_${withSuffix(key, '_sum')} ${Math.round(sum)}`);
      lines.push(`harrierglade_${withSuffix(key, '_count')} ${values.totalCount}`);
    }
    return `${lines.join('\n')}\n`;
  }
}

function buildHistogram(): Histogram {
  return build({
    bitBucketSize: 32,
    autoResize: true,
    lowestDiscernibleValue: 1,
    highestTrackableValue: 1_000_000,
    numberOfSignificantValueDigits: 2,
  });
}
