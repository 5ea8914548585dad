/**
 * Interface for reading the published state. Errors are returned as values so that callers must
 * handle them.
 */
import type { EndpointId } from '../ids/index.js';
import type { Result } from '../result/index.js';
import type { DataCentreId, PublishedConfig, PublishedEndpoint } from './types.js';

/** Why a read failed. */
export interface ReadFault {
  /** Error kind, used as a metric label. */
  readonly kind: 'timeout' | 'busy' | 'reset' | 'missing' | 'invalid' | 'stale' | 'oversized';
  /** Description for the log. */
  readonly detail: string;
}

/** One change of the endpoint list. */
export type EndpointChange =
  | { readonly kind: 'written'; readonly endpoint: PublishedEndpoint }
  | { readonly kind: 'removed'; readonly id: EndpointId };

/** What a read says about the evacuated data centres: all of them, or changes in their order. */
export type EvacuationUpdate =
  | { readonly kind: 'whole'; readonly dataCentres: readonly DataCentreId[] }
  | {
      readonly kind: 'changes';
      readonly changes: readonly {
        readonly kind: 'begun' | 'ended';
        readonly dataCentre: DataCentreId;
      }[];
    };

/** What a read says about the configuration. */
export type ConfigUpdate =
  | { readonly kind: 'read'; readonly config: PublishedConfig }
  /** A newer version cannot be decoded; the active one is no longer current. */
  | { readonly kind: 'unreadable' }
  /** A newer version has yet to be read. */
  | { readonly kind: 'pending' }
  /** Unchanged. */
  | { readonly kind: 'same' };

/** Time and store era of a read. */
export interface ReadTime {
  /**
   * Number of the store's era, which rises each time the store is restored from an older copy.
   * Revisions of different eras are not comparable. Defaults to 0.
   */
  readonly era?: number;
  /**
   * Time after the request at which the result was confirmed as current, ms; negative if it came
   * from a relay. Defaults to 0.
   */
  readonly confirmedAfterMs?: number;
  /**
   * Time after the request of the last contact with the store, ms, even if that confirms nothing.
   * Defaults to `confirmedAfterMs`.
   */
  readonly contactAfterMs?: number;
}

/** The whole published state and the store revision from which to watch for changes. */
export interface PublishedRead extends ReadTime {
  readonly config: ConfigUpdate;
  readonly endpoints: readonly PublishedEndpoint[];
  /** The evacuated data centres; undefined if the source does not know them. */
  readonly evacuated?: readonly DataCentreId[];
  /** Data centres that a peer knows as evacuated, which the store does not. */
  readonly evacuatedAtPeers?: readonly DataCentreId[];
  readonly revision: number;
  /** Records that were skipped, each with field, value and remedy. */
  readonly invalid: readonly string[];
}

/** The configuration alone. */
export interface ConfigRead extends ReadTime {
  readonly config: ConfigUpdate;
  readonly invalid: readonly string[];
}

/** Result of watching for changes. */
export type WatchResult =
  | (ReadTime & {
      readonly kind: 'changes';
      readonly config: ConfigUpdate;
      /** In the order in which they were made. */
      readonly endpoints: readonly EndpointChange[];
      /** Undefined if nothing changed, or if the source does not know. */
      readonly evacuations?: EvacuationUpdate;
      readonly revision: number;
      readonly invalid: readonly string[];
    })
  /** The history since the revision is no longer available; a full read is needed. */
  | { readonly kind: 'forgotten' };

/**
 * Reads what operators and endpoints publish. Every result is the newest state; a stale source
 * returns an error instead.
 */
export interface PublishedSource {
  /** Name for the log: `store`, or the address of a relay. */
  readonly name: string;
  readAll(): Promise<Result<PublishedRead, ReadFault>>;
  /** Waits for changes after a revision; returns none after `waitMs`. */
  watch(revision: number, waitMs: number): Promise<Result<WatchResult, ReadFault>>;
  /** Reads the configuration alone, after a newer one was reported as pending. */
  readConfig(): Promise<Result<ConfigRead, ReadFault>>;
}

/** The store itself. */
export interface PublishedStore extends PublishedSource {
  /** Decodes a configuration document that was forwarded as the store returned it. */
  decodeConfig(document: string): ConfigRead;
}
