/** Where the published state is read. What may go wrong is a value, so that no reader can miss it. */
import type { EndpointId } from '../ids/index.js';
import type { Result } from '../result/index.js';
import type { PublishedConfig, PublishedEndpoint } from './types.js';

/** Why a read gave nothing. */
export interface ReadFault {
  /** Short kind for counters. */
  readonly kind: 'timeout' | 'busy' | 'reset' | 'missing' | 'invalid' | 'stale';
  /** What was seen, for the log. */
  readonly detail: string;
}

/** One change of the list of endpoints. */
export type EndpointChange =
  | { readonly kind: 'written'; readonly endpoint: PublishedEndpoint }
  | { readonly kind: 'removed'; readonly id: EndpointId };

/** What was learnt of the configuration. */
export type ConfigNews =
  | { readonly kind: 'read'; readonly config: PublishedConfig }
  /** There is a newer one that cannot be taken: the one in force is not the newest any more. */
  | { readonly kind: 'unreadable' }
  /** There is a newer one, which has yet to be read. */
  | { readonly kind: 'pending' }
  /** It has not changed. */
  | { readonly kind: 'same' };

/** When and in which era of the store something was read. */
export interface ReadTime {
  /**
   * Number of the store's era, which rises each time that it comes back from an older copy: revisions of one era mean nothing in
   * another. 0 where left out.
   */
  readonly era?: number;
  /** Time after asking at which all this was the newest, ms; negative where it was told by a relay. 0 where left out. */
  readonly provedAfterMs?: number;
  /** Time after asking at which the store was heard, ms, also where that proves nothing. `provedAfterMs` where left out. */
  readonly heardAfterMs?: number;
}

/** Everything that is published, and the revision of the store from which changes are to be watched. */
export interface PublishedRead extends ReadTime {
  readonly config: ConfigNews;
  readonly endpoints: readonly PublishedEndpoint[];
  readonly revision: number;
  /** Records that were left out, each with field, value and remedy. */
  readonly invalid: readonly string[];
}

/** The configuration alone. */
export interface ConfigRead extends ReadTime {
  readonly config: ConfigNews;
  readonly invalid: readonly string[];
}

/** What came of watching for changes. */
export type Watched =
  | (ReadTime & {
      readonly kind: 'changes';
      readonly config: ConfigNews;
      /** In the order in which they were made. */
      readonly endpoints: readonly EndpointChange[];
      readonly revision: number;
      readonly invalid: readonly string[];
    })
  /** The history since the revision is no longer known: everything has to be read again. */
  | { readonly kind: 'forgotten' };

/** Reads what operators and endpoints publish. Each answer is the newest state, never a stale one. */
export interface PublishedSource {
  /** What is read, for the log: `store`, or the address of a relay. */
  readonly name: string;
  readAll(): Promise<Result<PublishedRead, ReadFault>>;
  /** Changes after a revision, as soon as there are some, or none after `waitMs`. */
  watch(revision: number, waitMs: number): Promise<Result<Watched, ReadFault>>;
  /** The configuration alone, after the news that a newer one is pending. */
  readConfig(): Promise<Result<ConfigRead, ReadFault>>;
}

/** The store itself. */
export interface PublishedStore extends PublishedSource {
  /** The configuration in a document that was passed on as the store gave it. */
  decodeConfig(document: string): ConfigRead;
}
