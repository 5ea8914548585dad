/**
 * Engine groups of one service at this entry: a slot queue for each, and the choice of a group for each attempt.
 * Groups are independent: one may be full or in an outage while the others serve.
 */
import type { Clock } from '../../core/clock/index.js';
import { asId, type EndpointId, type GroupId } from '../../core/ids/index.js';
import type { DataCentreId, EngineInfo, PublishedEndpoint } from '../../core/published/index.js';
import type { ServiceUrgencies } from '../../core/urgency/index.js';
import type { GroupLoad } from './group-status.js';
import { ReturningCallers } from './returning-callers.js';
import { SlotQueue } from './slot-queue.js';

/** Group of engines whose real group is not known yet. */
const UNKNOWN_GROUP = asId<GroupId>('unknown');

/** Dependencies of `ServiceGroups`. */
export interface ServiceGroupsDeps {
  readonly clock: Clock;
  readonly dataCentre: DataCentreId;
  /** Returns the published engine settings; undefined if the service has none any more. */
  readonly engine: () => EngineInfo | undefined;
  /** Returns the endpoints of the service that accept requests. */
  readonly endpoints: () => Iterable<PublishedEndpoint>;
  readonly groupOf: (endpoint: PublishedEndpoint) => GroupId | undefined;
  readonly loadOf: (group: GroupId) => GroupLoad | undefined;
  /** Returns the urgencies of the service's requests; undefined, as without it, if all are equally urgent. */
  readonly urgencies?: () => ServiceUrgencies | undefined;
  /** Whether backpressure allows a request to an endpoint now. */
  readonly isAvailable: (endpoint: PublishedEndpoint) => boolean;
}

/** A group and its slot queue at this entry. */
export interface GroupQueue {
  readonly id: GroupId;
  readonly slotQueue: SlotQueue;
}

interface Candidate extends GroupQueue {
  /** Whether any of its available engines is in this entry's data centre. */
  isNear: boolean;
}

/** The engine groups of one service. */
export class ServiceGroups {
  readonly returningCallers = new ReturningCallers();
  private readonly queues = new Map<GroupId, SlotQueue>();

  constructor(private readonly deps: ServiceGroupsDeps) {}

  /** Returns all groups that have a slot queue. */
  all(): GroupQueue[] {
    return [...this.queues].map(([id, slotQueue]) => ({ id, slotQueue }));
  }

  /** Returns the slot queue of a group, creating it on first use. */
  queueOf(id: GroupId): SlotQueue {
    const existing = this.queues.get(id);
    if (existing) return existing;
    const { clock, engine, loadOf, urgencies } = this.deps;
    const created = new SlotQueue({
      clock,
      engine,
      size: () => loadOf(id),
      ...(urgencies && { urgencies }),
    });
    this.queues.set(id, created);
    return created;
  }

  /** Whether an endpoint belongs to a group. */
  contains(endpoint: PublishedEndpoint, group: GroupId): boolean {
    return this.groupOf(endpoint) === group;
  }

  private groupOf(endpoint: PublishedEndpoint): GroupId {
    return this.deps.groupOf(endpoint) ?? UNKNOWN_GROUP;
  }

  /**
   * Selects the group for one more attempt; undefined if no group other than `except` has an available endpoint
   * that was not tried yet.
   * Prefers groups without an outage, then groups with a free slot, then local ones, then the least utilised.
   * @example const group = groups.choose(tried); await group?.slotQueue.queue.take(0, 60, disconnected);
   */
  choose(tried: ReadonlySet<EndpointId>, except?: GroupId): GroupQueue | undefined {
    let best: Candidate | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    for (const candidate of this.candidates(tried, except)) {
      const cost = this.costOf(candidate);
      if (cost < bestCost) [best, bestCost] = [candidate, cost];
    }
    return best;
  }

  private candidates(tried: ReadonlySet<EndpointId>, except?: GroupId): Iterable<Candidate> {
    const found = new Map<GroupId, Candidate>();
    for (const endpoint of this.deps.endpoints()) {
      // Requests must not queue for a group whose ranks are all backing off.
      if (tried.has(endpoint.id) || !this.deps.isAvailable(endpoint)) continue;
      const id = this.groupOf(endpoint);
      if (id === except) continue;
      const isNear = endpoint.dataCentre === this.deps.dataCentre;
      const existing = found.get(id);
      if (existing) existing.isNear ||= isNear;
      else found.set(id, { id, slotQueue: this.queueOf(id), isNear });
    }
    return found.values();
  }

  private costOf({ slotQueue, isNear }: Candidate): number {
    const { running, queued } = slotQueue.queue;
    const utilisation = (running + queued + 1) / slotQueue.slots;
    if (slotQueue.outage.isDown(this.deps.clock.nowMs())) return COST.outage + utilisation;
    if (utilisation > 1) return COST.full + utilisation;
    return (isNear ? COST.near : COST.remote) + utilisation;
  }
}

/**
 * Cost tiers of a group by its state; utilisation decides only within a tier. A group's load is known up to a
 * second late: when entries left a local group as soon as a remote one looked less loaded, they all moved
 * together, and three groups alternated between 30 and 270 streams every second.
 */
const COST = { near: 0, remote: 10, full: 1000, outage: 1e6 } as const;
