/** Summary of one soak run. */
export interface SoakResult {
  readonly seed: number;
  readonly requests: number;
  readonly answered: number;
  /** Requests refused as not run. */
  readonly refused?: number;
  /** Responses that endpoints sent in the place of another request's, and those of status 503. */
  readonly surplus?: number;
  readonly surplus503?: number;
  readonly disturbances: number;
  readonly violations: readonly string[];
  /**
   * Longest event loop stall of the soak process, ms; it stalls the store, proxies and callers too. Undefined if
   * these run in processes of their own.
   */
  readonly longestStallMs?: number;
  /** Folder of the logs and boot files. */
  readonly folder: string;
}
