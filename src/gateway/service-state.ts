/** What an entry keeps of one service. */
import type { ServiceId } from '../core/published/index.js';
import type { RetryBudget } from '../core/retry/index.js';
import type { ServiceGroups } from './service-groups.js';

/** What is kept of one service at this entry. */
export interface ServiceState {
  readonly id: ServiceId;
  readonly budget: RetryBudget;
  /** Groups with their turns and limits; undefined for services whose endpoints do not run in lock-step. */
  readonly groups: ServiceGroups | undefined;
}
