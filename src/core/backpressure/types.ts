/** What endpoints ask for in their answers. */

/** What one answer asks for. */
export interface AnswerAsks {
  /** Time for which the endpoint wants nothing more from this entry, ms; undefined where it asks for no rest. */
  readonly restMs: number | undefined;
  /** Whether it says that it leaves. */
  readonly isLeaving: boolean;
  /** Requests a second that it takes from all entries together; undefined where it names no limit. */
  readonly limitPerS: number | undefined;
  /** Names of what could not be read, which counts as not asked for. */
  readonly unreadable: readonly AskName[];
}

/** The things that an endpoint may ask for. */
export type AskName = 'rest' | 'leaving' | 'limit';

/** What an answer says of them, as texts; undefined for what it does not say. */
export type AskTexts = Readonly<Record<AskName, string | undefined>>;
