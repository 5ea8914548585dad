/**
 * Forecast of first tries at one group for the next seconds, from the record of their arrivals.
 *
 * The deviation from the mean of the record is predicted linearly from the recent level and trend; the two
 * coefficients of each horizon are fitted to the record (ridge regression). A wave shows in them without a
 * search for its period: some of it has to be seen before, one and a half periods as a rule. Without evidence in
 * the record, the level decays towards the mean. The forecast counts as useful only if its errors, measured on
 * predictions made before the arrivals, are clearly smaller than those of both "as now" and "as the mean".
 */

/** Width of the bins in which arrivals are counted, ms. */
export const BIN_MS = 500;
/** Length of the record, in bins: 80 s. */
const MAX_BINS = 160;
/** Length of the level, in bins; the trend compares it with the bins before. */
const LEVEL_BINS = 4;
/** Bins averaged for one target value: half of the noise of one. */
const TARGET_BINS = 2;
/** Longest horizon, in bins. */
const MAX_HORIZON = 12;
/** Horizon at which predictions are checked, in bins: about the mean Retry-After. */
const CHECKED_HORIZON = 4;
/** Predictions to check before the forecast may count as useful. */
const MIN_CHECKED = 12;
/** Weight of the latest check in the mean squared errors. */
const ERROR_STEP = 1 / 16;
/** Part of the squared error of the simple forecasts that a useful one may have at most. */
const USEFUL_ERROR_SHARE = 0.8;
/** Time constant with which a level decays to the mean by default, in bins: bursts last for seconds. */
const DECAY_BINS = 4;
/** Uncertainty before any prediction was checked, as a share of the mean. */
const INITIAL_UNCERTAINTY_SHARE = 0.3;
/** Weight of the default coefficients, in samples with the variance of a Poisson process. */
const PRIOR_SAMPLES = 3;
/** Bins after a gap without notes at which the record is dropped: the process was suspended. */
const MAX_GAP_BINS = 20;

interface Coefficients {
  readonly level: number;
  readonly trend: number;
}

interface Check {
  readonly dueBin: number;
  readonly model: number;
  readonly usual: number;
  readonly asNow: number;
  readonly mean: number;
}

const FORECAST_KINDS = ['model', 'usual', 'asNow', 'mean'] as const;
type ForecastKind = (typeof FORECAST_KINDS)[number];
type SquaredErrors = Record<ForecastKind, number>;

/** What the forecast says of one moment. */
export interface ForecastSummary {
  /** Whether it is better than "as now" and the mean. */
  readonly isUseful: boolean;
  /** Root mean square of its errors, arrivals a second; undefined while none was checked. */
  readonly errorPerS: number | undefined;
}

const PER_S = 1000 / BIN_MS;

function defaultCoefficients(horizon: number): Coefficients {
  return { level: Math.exp(-horizon / DECAY_BINS), trend: 0 };
}

/** Forecast of the arrivals of first tries. Times are monotonic ms. */
export class ArrivalForecast {
  private bins: number[] = [];
  private current = 0;
  private binStartMs: number | undefined;
  private closedBins = 0;
  private mean = 0;
  private coefficients: Coefficients[] = [];
  private checks: Check[] = [];
  private checked = 0;
  private errors: SquaredErrors = { model: 0, usual: 0, asNow: 0, mean: 0 };

  /** Notes one first try. */
  note(nowMs: number): void {
    this.advance(nowMs);
    this.current += 1;
  }

  /** Closes the bins that have ended. */
  advance(nowMs: number): void {
    this.binStartMs ??= nowMs;
    const ended = Math.floor((nowMs - this.binStartMs) / BIN_MS);
    if (ended > MAX_GAP_BINS) return this.restart(nowMs);
    for (let i = 0; i < ended; i += 1) this.closeBin();
    if (ended > 0) this.fit();
  }

  private restart(nowMs: number): void {
    this.bins = [];
    this.mean = 0;
    this.coefficients = [];
    this.checks = [];
    this.checked = 0;
    this.errors = { model: 0, usual: 0, asNow: 0, mean: 0 };
    this.current = 0;
    this.binStartMs = nowMs;
  }

  private closeBin(): void {
    this.bins.push(this.current);
    if (this.bins.length > MAX_BINS) this.bins.shift();
    this.current = 0;
    this.binStartMs = (this.binStartMs ?? 0) + BIN_MS;
    this.closedBins += 1;
    this.mean = average(this.bins, 0, this.bins.length);
    this.check();
    if (this.bins.length < 2 * LEVEL_BINS) return;
    this.checks.push({
      dueBin: this.closedBins + CHECKED_HORIZON,
      model: this.predict(this.fitted(CHECKED_HORIZON)),
      usual: this.predict(defaultCoefficients(CHECKED_HORIZON)),
      asNow: this.level(this.bins.length),
      mean: this.mean,
    });
  }

  private check(): void {
    const due = this.checks[0];
    if (!due || due.dueBin > this.closedBins) return;
    this.checks.shift();
    this.checked += 1;
    const actual = this.target(this.bins.length - 1);
    const step = Math.max(ERROR_STEP, 1 / this.checked);
    for (const kind of FORECAST_KINDS)
      this.errors[kind] += step * ((due[kind] - actual) ** 2 - this.errors[kind]);
  }

  /** Mean of the bins just before an index. */
  private level(end: number): number {
    return average(this.bins, end - LEVEL_BINS, end);
  }

  private trend(end: number): number {
    return this.level(end) - this.level(end - LEVEL_BINS);
  }

  private target(index: number): number {
    return average(this.bins, index + 1 - TARGET_BINS, index + 1);
  }

  private fit(): void {
    const { mean } = this;
    this.coefficients = Array.from({ length: MAX_HORIZON }, (_, i) => this.fitHorizon(i + 1, mean));
  }

  /** Solves the normal equations for the deviation from the default coefficients. */
  private fitHorizon(horizon: number, mean: number): Coefficients {
    const prior = defaultCoefficients(horizon);
    const ridge = PRIOR_SAMPLES * Math.max(1, mean);
    let [ll, lt, tt, lr, tr] = [ridge, 0, ridge, 0, 0];
    for (let end = 2 * LEVEL_BINS; end + horizon <= this.bins.length; end += 1) {
      const level = this.level(end) - mean;
      const trend = this.trend(end);
      const rest = this.target(end + horizon - 1) - mean - prior.level * level;
      ll += level * level;
      lt += level * trend;
      tt += trend * trend;
      lr += level * rest;
      tr += trend * rest;
    }
    const determinant = ll * tt - lt * lt;
    return {
      level: prior.level + (lr * tt - tr * lt) / determinant,
      trend: (tr * ll - lr * lt) / determinant,
    };
  }

  private fitted(horizon: number): Coefficients {
    return this.coefficients[horizon - 1] ?? defaultCoefficients(horizon);
  }

  private predict({ level, trend }: Coefficients): number {
    const end = this.bins.length;
    const { mean } = this;
    if (end < LEVEL_BINS) return mean;
    const slope = end < 2 * LEVEL_BINS ? 0 : this.trend(end);
    return Math.max(0, mean + level * (this.level(end) - mean) + trend * slope);
  }

  /**
   * First tries a second expected `aheadMs` from now; 0 before any bin has ended.
   * @example forecast.perS(clock.nowMs(), 2000)
   */
  perS(nowMs: number, aheadMs: number): number {
    this.advance(nowMs);
    if (this.bins.length === 0) return 0;
    const horizon = Math.max(1, Math.min(MAX_HORIZON, Math.round(aheadMs / BIN_MS)));
    const coefficients = this.isUseful ? this.fitted(horizon) : defaultCoefficients(horizon);
    return this.predict(coefficients) * PER_S;
  }

  /** Mean of the last two seconds, arrivals a second. */
  nowPerS(nowMs: number): number {
    this.advance(nowMs);
    return this.level(this.bins.length) * PER_S;
  }

  private get isUseful(): boolean {
    const { model, asNow, mean } = this.errors;
    return this.checked >= MIN_CHECKED && model < USEFUL_ERROR_SHARE * Math.min(asNow, mean);
  }

  /**
   * Standard deviation of the expected rate, arrivals a second: the error of the forecast in use, less that of a
   * Poisson process with the true rate.
   */
  uncertaintyPerS(nowMs: number): number {
    this.advance(nowMs);
    const { mean } = this;
    if (this.checked === 0) return INITIAL_UNCERTAINTY_SHARE * mean * PER_S;
    const error = this.isUseful ? this.errors.model : this.errors.usual;
    return Math.sqrt(Math.max(0, error - mean / TARGET_BINS)) * PER_S;
  }

  /** Whether the forecast is useful, and its error. */
  summary(nowMs: number): ForecastSummary {
    this.advance(nowMs);
    const { model } = this.errors;
    return {
      isUseful: this.isUseful,
      errorPerS: this.checked > 0 ? Math.sqrt(model) * PER_S : undefined,
    };
  }
}

function average(values: readonly number[], from: number, to: number): number {
  const start = Math.max(0, from);
  if (to <= start) return 0;
  let sum = 0;
  for (let i = start; i < to; i += 1) sum += values[i] ?? 0;
  return sum / (to - start);
}
