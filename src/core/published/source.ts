/** Where the published state is read. What may go wrong is a value, so that no reader can miss it. */
import type { Result } from '../result/index.js';
import type { PublishedConfig, PublishedEndpoint } from './types.js';

/** Why a read gave nothing. */
export interface ReadFault {
  /** Short kind for counters, such as `timeout`, `busy`, `refused`, `invalid`. */
  readonly kind: 'timeout' | 'busy' | 'reset' | 'missing' | 'invalid';
  /** What was seen, for the log. */
  readonly detail: string;
}

/** What is published. */
export type PublishedKind = 'config' | 'endpoints';

/** Something read, and the revision of the store at which it was the newest. */
export interface Read<T> {
  readonly value: T;
  readonly revision: number;
}

/** Reads what operators and endpoints publish. Each answer is the newest state, never a stale one. */
export interface PublishedSource {
  readConfig(): Promise<Result<Read<PublishedConfig>, ReadFault>>;
  readEndpoints(): Promise<Result<Read<readonly PublishedEndpoint[]>, ReadFault>>;
  /**
   * Waits for a change after a revision, `waitMs` at most; true when there is one, or when the history
   * since then is no longer known.
   */
  waitForChange(
    kind: PublishedKind,
    revision: number,
    waitMs: number,
  ): Promise<Result<boolean, ReadFault>>;
}
