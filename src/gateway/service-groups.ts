/**
 * The groups of engines behind one service at this entry: turns at each, and which one a request is given to.
 * Groups share nothing: one may be full, or have lost a rank, while the others serve.
 */
import type { Clock } from '../core/clock/index.js';
import { asId, type EndpointId, type GroupId } from '../core/ids/index.js';
import type { DataCentreId, EngineInfo, PublishedEndpoint } from '../core/published/index.js';
import type { GroupSize } from './group-sight.js';
import { ReturningCallers } from './returning-callers.js';
import { Turns } from './turns.js';

/** Group of the engines whose own one has not been told. */
const UNKNOWN = asId<GroupId>('unknown');

/** What choosing among groups needs. */
export interface ServiceGroupsParts {
  readonly clock: Clock;
  readonly dataCentre: DataCentreId;
  /** The engines as published; undefined when they are so no longer. */
  readonly engine: () => EngineInfo | undefined;
  /** Endpoints of the service that take work. */
  readonly endpoints: () => Iterable<PublishedEndpoint>;
  readonly groupOf: (endpoint: PublishedEndpoint) => GroupId | undefined;
  readonly sizeOf: (group: GroupId) => GroupSize | undefined;
  /** Whether an endpoint may be sent a request now. */
  readonly mayAsk: (endpoint: PublishedEndpoint) => boolean;
}

/** One group at this entry. */
export interface GroupTurns {
  readonly id: GroupId;
  readonly turns: Turns;
}

interface Candidate extends GroupTurns {
  /** Whether any of its engines is in the data centre of this entry. */
  isNear: boolean;
}

/** The groups of one service. */
export class ServiceGroups {
  readonly callers = new ReturningCallers();
  private readonly turns = new Map<GroupId, Turns>();

  constructor(private readonly parts: ServiceGroupsParts) {}

  /** The groups known so far. */
  all(): GroupTurns[] {
    return [...this.turns].map(([id, turns]) => ({ id, turns }));
  }

  /** Turns at one group. */
  at(id: GroupId): Turns {
    const known = this.turns.get(id);
    if (known) return known;
    const { clock, engine, sizeOf } = this.parts;
    const made = new Turns({ clock, engine, size: () => sizeOf(id) });
    this.turns.set(id, made);
    return made;
  }

  /** Whether an endpoint belongs to a group. */
  isIn(endpoint: PublishedEndpoint, group: GroupId): boolean {
    return this.groupOf(endpoint) === group;
  }

  private groupOf(endpoint: PublishedEndpoint): GroupId {
    return this.parts.groupOf(endpoint) ?? UNKNOWN;
  }

  /**
   * The group for one more attempt; undefined when no other than `except` has an endpoint that was not tried
   * and may be asked.
   * Groups that serve go before those in an outage, those with a free place before full ones, near before far,
   * and then the one with most room.
   * @example const group = groups.choose(tried); await group?.turns.queue.take(0, 60, gone);
   */
  choose(tried: ReadonlySet<EndpointId>, except?: GroupId): GroupTurns | undefined {
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
    for (const endpoint of this.parts.endpoints()) {
      // Nobody waits for a place in a group all of whose ranks asked for rest.
      if (tried.has(endpoint.id) || !this.parts.mayAsk(endpoint)) continue;
      const id = this.groupOf(endpoint);
      if (id === except) continue;
      const isNear = endpoint.dataCentre === this.parts.dataCentre;
      const known = found.get(id);
      if (known) known.isNear ||= isNear;
      else found.set(id, { id, turns: this.at(id), isNear });
    }
    return found.values();
  }

  private costOf({ turns, isNear }: Candidate): number {
    const { running, queued } = turns.queue;
    const fullness = (running + queued + 1) / turns.places;
    if (turns.outage.isOut(this.parts.clock.nowMs())) return COST.out + fullness;
    if (fullness > 1) return COST.full + fullness;
    return (isNear ? COST.near : COST.far) + fullness;
  }
}

/**
 * Costs of a group by what is known of it; how full it is decides only among alike ones. What a group runs is
 * known up to a second late: where entries left a near group as soon as a far one looked emptier, all went
 * there together, and three groups ran 30 and 270 streams by turns, each second another one.
 */
const COST = { near: 0, far: 10, full: 1000, out: 1e6 } as const;
