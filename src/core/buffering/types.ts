/** Types of the memory budget. */

/** Sizes of a memory budget, bytes. */
export interface BudgetLimits {
  /** All buffered bytes of the process. */
  readonly totalBytes: number;
  /** All request bodies. */
  readonly bodyBytes: number;
  /** One response. */
  readonly responseBytes: number;
}

/** Why a response was ended before its caller had read it. */
export type EndReason =
  /** The budget of the process was spent. */
  | 'budget'
  /** The response exceeded the bytes allowed for one response. */
  | 'response-limit'
  /** The caller had not read the response at its deadline. */
  | 'deadline';

/** State of an ended response, for its log line. */
export interface EndedResponse {
  readonly reason: EndReason;
  /** Bytes buffered for the caller. */
  readonly heldBytes: number;
  /** Age of its oldest unread byte, ms; undefined if the caller had read everything. */
  readonly oldestMs: number | undefined;
  /** Bytes buffered by the process, and the budget for them. */
  readonly usedBytes: number;
  readonly budgetBytes: number;
}
