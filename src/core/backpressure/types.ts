/** Backpressure signals that endpoints send in the headers of their answers. */

/** The backpressure signals of one answer. */
export interface BackpressureSignals {
  /** Requested backoff of this entry, ms; undefined if none is requested. */
  readonly backoffMs: number | undefined;
  /** Whether the endpoint announces that it is leaving. */
  readonly isLeaving: boolean;
  /** Rate limit for all entries together, requests/s; undefined if none is named. */
  readonly limitPerS: number | undefined;
  /** Signals with an invalid value, which are treated as absent. */
  readonly unreadable: readonly SignalName[];
}

/** Names of the signals. */
export type SignalName = 'rest' | 'leaving' | 'limit';

/** Header value of each signal; undefined if the header is absent. */
export type SignalTexts = Readonly<Record<SignalName, string | undefined>>;
