/** Backpressure signals that endpoints send in the headers of their answers. */

/** The backpressure signals of one answer. */
export interface AnswerAsks {
  /** Requested backoff of this entry, ms; undefined if none is requested. */
  readonly restMs: number | undefined;
  /** Whether the endpoint announces that it is leaving. */
  readonly isLeaving: boolean;
  /** Rate limit for all entries together, requests/s; undefined if none is named. */
  readonly limitPerS: number | undefined;
  /** Signals with an invalid value, which are treated as absent. */
  readonly unreadable: readonly AskName[];
}

/** Names of the signals. */
export type AskName = 'rest' | 'leaving' | 'limit';

/** Header value of each signal; undefined if the header is absent. */
export type SignalTexts = Readonly<Record<AskName, string | undefined>>;
