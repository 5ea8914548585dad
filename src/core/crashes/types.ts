/** Types of crash evidence. */
import type { EndpointId, Id } from '../ids/index.js';
import type { TraitId } from './traits.js';

/** Identifies a run of a request on an endpoint that crashed, across entries. */
export type RunId = Id<'run'>;

/** A run that had just started on an endpoint when it crashed. Times are those of the clock, ms. */
export interface CrashedRun {
  readonly endpoint: EndpointId;
  /** Id of the request, as `plainName` gives it; unknown in reports of daemons of an earlier build. */
  readonly request?: string | undefined;
  readonly sentAtMs: number;
  readonly crashedAtMs: number;
  /** Traits of the request. */
  readonly traits: readonly TraitId[];
}
