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

/** A configuration read: undefined when it is the one that this reader had read before. */
export interface ConfigRead {
  readonly config: PublishedConfig | undefined;
}

/** Reads what operators and endpoints publish. Each answer is the newest state, never a stale one. */
export interface PublishedSource {
  readConfig(): Promise<Result<ConfigRead, ReadFault>>;
  readEndpoints(): Promise<Result<readonly PublishedEndpoint[], ReadFault>>;
}
