/** Event plans and the documents published from them. */
import type { ConfigurationDocument, EventConfig } from '../../generated/configuration.types.js';
import type { EventIntent } from '../../generated/intent.types.js';

export type { ConfigurationDocument, EventConfig, EventIntent };

/**
 * Capacity of one target compared with its surge. Rates are tokens per second for models and
 * requests per second for services.
 */
export interface TargetPlan {
  readonly target: string;
  readonly unit: 'tokens/s' | 'requests/s';
  readonly endpoints: number;
  /** Undefined when the configuration sets no rate per endpoint. */
  readonly capacity: number | undefined;
  readonly surge: number;
  readonly shortfall: number;
}

/** Share of one organisation before and during the event, tokens per second across the deployment. */
export interface SharePlan {
  readonly organisation: string;
  readonly before: number;
  /** Its weighted share among the event's organisations while capacity is short. */
  readonly during: number;
}

/** Experts that a group loads before the event starts. */
export interface PreloadPlan {
  readonly group: string;
  readonly experts: readonly number[];
  readonly bytes: number;
  readonly beginMs: number;
  readonly endMs: number;
  readonly inTime: boolean;
}

/** One step of load shedding: what is sacrificed, from which pressure, and the remaining shortfall. */
export interface SacrificePlan {
  readonly given: string;
  readonly fromPressure: number;
  readonly shortfallLeft: number;
}

/** A plan for an operator to review; nothing changes until it is confirmed. */
export interface EventPlan {
  readonly base: { readonly version: number; readonly digest: string };
  readonly event: EventConfig;
  readonly targets: readonly TargetPlan[];
  readonly shares: readonly SharePlan[];
  readonly preloads: readonly PreloadPlan[];
  readonly sacrifice: readonly SacrificePlan[];
  /** Shortfall that remains after everything that may be sacrificed is, tokens per second. */
  readonly shortfallLeft: number;
}

/** Output of `harrierglade confirm`, which the operator publishes through the platform. */
export interface Publication {
  readonly basedOn: number;
  readonly digest: string;
  readonly body: ConfigurationDocument['body'];
}
