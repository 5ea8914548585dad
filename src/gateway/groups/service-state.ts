/** Per-service state of an entry. */
import type { ServiceId } from '../../core/published/index.js';
import type { RetryBudget } from '../../core/retry/index.js';
import type { ServiceGroups } from './service-groups.js';

/** Retry budget and engine groups of one service at this entry. */
export interface ServiceState {
  readonly id: ServiceId;
  readonly budget: RetryBudget;
  /** Engine groups with their slot queues; undefined for services whose endpoints do not run in lock-step. */
  readonly groups: ServiceGroups | undefined;
}
