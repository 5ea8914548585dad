/** The urgencies of each service, computed once for each configuration. */
import type { PublishedConfig, ServiceId } from '../../core/published/index.js';
import { urgenciesOf, type ServiceUrgencies } from '../../core/urgency/index.js';

/** Urgencies by service, of the current configuration. */
export class UrgencyTable {
  private readonly byService = new Map<ServiceId, ServiceUrgencies | undefined>();
  private computedFrom: PublishedConfig | undefined;

  constructor(private readonly config: () => PublishedConfig | undefined) {}

  /**
   * Returns the urgencies of a service; undefined if all of its requests are equally urgent.
   * @example table.of(service)?.mayHave('org-1', 12)
   */
  of(service: ServiceId): ServiceUrgencies | undefined {
    const config = this.config();
    if (config !== this.computedFrom) this.byService.clear();
    this.computedFrom = config;
    if (!config) return undefined;
    if (!this.byService.has(service)) this.byService.set(service, urgenciesOf(config, service));
    return this.byService.get(service);
  }
}
