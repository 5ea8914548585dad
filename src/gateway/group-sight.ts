/** What an entry knows of the groups behind it: asked from the agents beside the engines. */
import { sleep, type Clock } from '../core/clock/index.js';
import { errorText } from '../core/errors/index.js';
import { asId, type EndpointId, type GroupId } from '../core/ids/index.js';
import type { Log } from '../core/logging/index.js';
import type { Metrics } from '../core/metrics/index.js';
import {
  hostOf,
  type DataCentreId,
  type PublishedEndpoint,
  type PublishedState,
  type ServiceId,
} from '../core/published/index.js';
import type { GroupDigest } from '../generated/messages.types.js';

/** Pause between two questions, ms: a digest is made each 0.1 to 0.5 s. */
const ASK_PAUSE_MS = 150;
/** Rounds of questions from one to the next in which a group of another data centre is asked: it is sent to rarely. */
const FAR_ROUNDS = 3;
/** Time for an answer, ms. */
const ASK_MS = 300;
/** Age above which what was seen is not acted on any more, ms: a coordinator that is lost is replaced within 2 s. */
const STALE_MS = 3000;
/**
 * Age up to which what an agent told is news, ms: it is asked again then. Agents of a large group hear each 0.25 s or more,
 * those of a branch whose first agent is silent later.
 */
const NEWS_MS = 500;

/** One engine as its group's coordinator saw it. */
export interface EngineSight {
  /** Requests that ran or waited there. */
  readonly load: number;
  /** How slow it is; 1 is its ordinary pace. */
  readonly pace: number;
}

/** A group as a whole. */
export interface GroupSize {
  readonly ranks: number;
  /** Streams that run or wait at all its engines. */
  readonly running: number;
  /** Entries that send to it. */
  readonly entries: number;
  /** When its ranks were asked, monotonic ms of this entry. */
  readonly countedAtMs: number;
}

/** What was seen of one group. */
interface Sight {
  readonly engines: ReadonlyMap<EndpointId, EngineSight>;
  readonly size: GroupSize;
}

/** Asks the agent at an address for its group; `sends` tells whether this entry sends there. */
export type AskGroup = (
  address: string,
  sends: boolean,
  withinMs: number,
) => Promise<GroupDigest | undefined>;

/** What watching groups needs. */
export interface GroupSightParts {
  readonly state: PublishedState;
  readonly clock: Clock;
  readonly random: () => number;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly dataCentre: DataCentreId;
  /** Port of the agents. */
  readonly port: number;
  readonly ask: AskGroup;
  /** Whether this entry has requests at a group. */
  readonly isUsed: (service: ServiceId, group: GroupId) => boolean;
  /** Called when a service's group was seen anew. */
  readonly onSeen: (service: ServiceId, group: GroupId) => void;
}

/** The groups behind one entry. A service may have several. */
export class GroupSight {
  private readonly sights = new Map<GroupId, Sight>();
  /** Group of each engine that was ever told; it outlasts what was seen of the group. */
  private readonly groups = new Map<EndpointId, GroupId>();
  /** The agent of each group that told news last. */
  private readonly newsFrom = new Map<GroupId, EndpointId>();
  private round = 0;
  private lost = false;

  constructor(private readonly parts: GroupSightParts) {}

  /** What was seen of an engine; undefined when that is too old to count on. */
  of(endpoint: PublishedEndpoint): EngineSight | undefined {
    const group = this.groups.get(endpoint.id);
    return group === undefined ? undefined : this.fresh(group)?.engines.get(endpoint.id);
  }

  /** The group of an engine; undefined while nobody has told it. */
  groupOf(endpoint: PublishedEndpoint): GroupId | undefined {
    return this.groups.get(endpoint.id);
  }

  /** What was seen of a group; undefined when that is too old to count on. */
  sizeOf(group: GroupId): GroupSize | undefined {
    return this.fresh(group)?.size;
  }

  /** Entries that send to the group which most send to, as far as that was ever told. */
  get entriesKnown(): number {
    return Math.max(0, ...[...this.sights.values()].map((sight) => sight.size.entries));
  }

  private fresh(group: GroupId): Sight | undefined {
    const sight = this.sights.get(group);
    if (!sight || this.parts.clock.nowMs() - sight.size.countedAtMs > STALE_MS) return undefined;
    return sight;
  }

  /** Asks on until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await sleep(ASK_PAUSE_MS * (0.8 + 0.4 * this.parts.random()), signal);
      this.round += 1;
      this.forgetUnlisted();
      await Promise.all(this.engineServices().map((service) => this.askService(service)));
    }
  }

  private engineServices(): ServiceId[] {
    const services = this.parts.state.config?.services;
    if (!services) return [];
    return [...services.values()].filter((s) => s.engine !== undefined).map((s) => s.id);
  }

  private forgetUnlisted(): void {
    for (const id of this.groups.keys()) if (!this.parts.state.list.has(id)) this.groups.delete(id);
  }

  /** Asks about each group that is known, and about one engine whose group is not. */
  private async askService(service: ServiceId): Promise<void> {
    const engines = [...this.parts.state.list.values()].filter((e) => e.service === service);
    const byGroup = new Map<GroupId | undefined, PublishedEndpoint[]>();
    for (const engine of engines) {
      const group = this.groups.get(engine.id);
      byGroup.set(group, [...(byGroup.get(group) ?? []), engine]);
    }
    await Promise.all([...byGroup].map((of) => this.askGroup(service, engines, ...of)));
  }

  private async askGroup(
    service: ServiceId,
    listed: readonly PublishedEndpoint[],
    group: GroupId | undefined,
    members: readonly PublishedEndpoint[],
  ): Promise<void> {
    const { parts } = this;
    const near = members.filter((e) => e.dataCentre === parts.dataCentre);
    const isUsed = group === undefined || near.length > 0 || parts.isUsed(service, group);
    if (!isUsed && this.round % FAR_ROUNDS !== 0) return;
    const choices = near.length > 0 ? near : members;
    const agent = this.agentFor(group, choices);
    if (!agent) return;
    try {
      const address = `${hostOf(agent.address)}:${parts.port}`;
      const digest = await parts.ask(address, isUsed, ASK_MS);
      if (digest?.whole) this.take(service, digest, listed);
      this.noteTeller(group, agent, digest);
    } catch (err) {
      this.noteTeller(group, agent, undefined);
      parts.metrics.count('group_asks_failed_total');
      if (!this.lost)
        parts.log.info('group.lost', { agent: hostOf(agent.address), err: errorText(err) });
      this.lost = true;
    }
  }

  /** The agent that told news last, else any. */
  private agentFor(
    group: GroupId | undefined,
    choices: readonly PublishedEndpoint[],
  ): PublishedEndpoint | undefined {
    const known = group === undefined ? undefined : this.newsFrom.get(group);
    const any = choices[Math.floor(this.parts.random() * choices.length)];
    return choices.find((agent) => agent.id === known) ?? any;
  }

  /**
   * Notes whether an agent told news of the group that it was asked about. One that is cut off from its coordinator
   * still answers, and would be asked for as long as it is.
   */
  private noteTeller(
    group: GroupId | undefined,
    agent: PublishedEndpoint,
    digest: GroupDigest | undefined,
  ): void {
    if (group === undefined) return;
    if (digest?.whole && digest.ageMs <= NEWS_MS) this.newsFrom.set(group, agent.id);
    else this.newsFrom.delete(group);
  }

  private take(
    service: ServiceId,
    digest: GroupDigest,
    listed: readonly PublishedEndpoint[],
  ): void {
    const group = asId<GroupId>(digest.group);
    const countedAtMs = this.parts.clock.nowMs() - digest.ageMs;
    if (countedAtMs < (this.sights.get(group)?.size.countedAtMs ?? 0)) return;
    const engines = new Map<EndpointId, EngineSight>();
    for (const engine of listed) {
      const rank = digest.hosts.indexOf(hostOf(engine.address));
      if (rank < 0) continue;
      engines.set(engine.id, { pace: digest.pace[rank] ?? 1, load: digest.load[rank] ?? 0 });
      this.groups.set(engine.id, group);
    }
    const size: GroupSize = {
      ranks: digest.hosts.length,
      running: digest.running,
      entries: digest.entries,
      countedAtMs,
    };
    this.sights.set(group, { engines, size });
    if (this.lost) this.parts.log.info('group.regained', { group, engines: engines.size });
    this.lost = false;
    this.parts.onSeen(service, group);
  }
}
