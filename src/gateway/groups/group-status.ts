/** Status of the engine groups behind an entry, polled from the agents beside the engines. */
import { sleep, type Clock } from '../../core/clock/index.js';
import { errorText } from '../../core/errors/index.js';
import { asId, type EndpointId, type GroupId } from '../../core/ids/index.js';
import type { Log } from '../../core/logging/index.js';
import type { Metrics } from '../../core/metrics/index.js';
import {
  hostOf,
  type DataCentreId,
  type PublishedEndpoint,
  type PublishedState,
  type ServiceId,
} from '../../core/published/index.js';
import { SLOW_PACE } from '../../core/routing/index.js';
import type { Demand, GroupDigest } from '../../generated/messages.types.js';

/** Interval between polls, ms; a group digest is produced every 0.1 to 0.5 s. */
const POLL_INTERVAL_MS = 150;
/** Poll rounds per poll of a group in another data centre: few requests are sent there. */
const REMOTE_POLL_ROUNDS = 3;
/** Timeout of a poll, ms. */
const POLL_TIMEOUT_MS = 300;
/** Age above which a poll result is ignored, ms; a lost coordinator is replaced within 2 s. */
const MAX_RESULT_AGE_MS = 3000;
/**
 * Age up to which a group digest counts as fresh, ms; its agent is then polled again. Agents of a large group
 * receive a digest every 0.25 s or more, and later in a branch whose first agent is unresponsive.
 */
const FRESH_DIGEST_MS = 500;
/** Interval between two reports of this entry's demand, ms; its counts decay over a second. */
const DEMAND_INTERVAL_MS = 300;

/** Status of one engine as observed by its group's coordinator. */
export interface EngineStatus {
  /** Requests in flight or queued there. */
  readonly load: number;
  /** Relative step time; 1 is the normal speed, more is slower. */
  readonly pace: number;
  /** Mean load of the ranks of its group in the same count. */
  readonly meanLoad: number;
  /** When the coordinator polled the ranks, monotonic ms of this entry. */
  readonly countedAtMs: number;
}

/** Load of a whole group. */
export interface GroupLoad {
  /**
   * Ranks that receive requests: those that accept any and have normal speed, or all that accept any if none has. The
   * others take part in each step, but bear none of the load.
   */
  readonly ranks: number;
  /** Streams in flight or queued at all its engines. */
  readonly running: number;
  /** Number of entries that send to the group. */
  readonly entries: number;
  /** When the coordinator polled the ranks, monotonic ms of this entry. */
  readonly countedAtMs: number;
  /** Demand at all entries; undefined if the coordinator does not know it. */
  readonly demand?: Demand;
}

/**
 * Ranks among which the streams of a group are divided. With 40% of the ranks slow, a limit for all of them would put
 * more streams on the others than they have slots.
 */
function usableRanks({ pace, hosts }: GroupDigest, refusing: ReadonlySet<string>): number {
  const accepting = pace.filter((_, rank) => !refusing.has(hosts[rank] ?? ''));
  return accepting.filter((one) => one <= SLOW_PACE).length || accepting.length;
}

/** Latest poll result of one group. */
interface PollResult {
  readonly engines: ReadonlyMap<EndpointId, EngineStatus>;
  readonly size: GroupLoad;
}

/**
 * Requests the group digest from the agent at an address; `sends` says whether this entry sends requests to
 * the group, `demand` what arrives here for it.
 */
export type PollGroup = (
  address: string,
  sends: boolean,
  withinMs: number,
  demand?: Demand,
) => Promise<GroupDigest | undefined>;

/** Dependencies of `GroupStatus`. */
export interface GroupStatusDeps {
  readonly state: PublishedState;
  readonly clock: Clock;
  readonly random: () => number;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly dataCentre: DataCentreId;
  /** Port of the agents. */
  readonly port: number;
  readonly ask: PollGroup;
  /** Whether this entry has requests in flight at a group. */
  readonly hasRequests: (service: ServiceId, group: GroupId) => boolean;
  /** Returns the demand for a group at this entry; undefined, as without it, if it is not to be reported. */
  readonly demandOf?: (service: ServiceId, group: GroupId) => Demand | undefined;
  /** Called after each newer poll result of a group. */
  readonly onUpdate: (service: ServiceId, group: GroupId) => void;
}

/** Polls the groups behind one entry and keeps their latest status. A service may have several groups. */
export class GroupStatus {
  private readonly results = new Map<GroupId, PollResult>();
  /** Group of each listed engine; kept after the group's poll result has expired. */
  private readonly groupByEngine = new Map<EndpointId, GroupId>();
  /** The agent of each group whose last digest was fresh. */
  private readonly preferredAgents = new Map<GroupId, EndpointId>();
  /** Agents that take reports of demand: others would reject the request. */
  private readonly demandTakers = new Set<EndpointId>();
  private readonly demandReportedAtMs = new Map<GroupId, number>();
  private round = 0;
  private isFailing = false;

  constructor(private readonly parts: GroupStatusDeps) {}

  /** Returns the status of an engine; undefined if it is unknown or too old. */
  statusOf(endpoint: PublishedEndpoint): EngineStatus | undefined {
    const group = this.groupByEngine.get(endpoint.id);
    return group === undefined ? undefined : this.freshResult(group)?.engines.get(endpoint.id);
  }

  /** Returns the group of an engine; undefined until a digest contains the engine. */
  groupOf(endpoint: PublishedEndpoint): GroupId | undefined {
    return this.groupByEngine.get(endpoint.id);
  }

  /** Returns the load of a group; undefined if it is unknown or too old. */
  loadOf(group: GroupId): GroupLoad | undefined {
    return this.freshResult(group)?.size;
  }

  /** Returns the status of each engine of a group; empty if it is unknown or too old. */
  enginesOf(group: GroupId): EngineStatus[] {
    return [...(this.freshResult(group)?.engines.values() ?? [])];
  }

  /** Largest number of entries in the latest result of any group, however old; 0 before the first. */
  get knownEntries(): number {
    return Math.max(0, ...[...this.results.values()].map((result) => result.size.entries));
  }

  private freshResult(group: GroupId): PollResult | undefined {
    const result = this.results.get(group);
    if (!result || this.parts.clock.nowMs() - result.size.countedAtMs > MAX_RESULT_AGE_MS)
      return undefined;
    return result;
  }

  /** Polls until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await sleep(POLL_INTERVAL_MS * (0.8 + 0.4 * this.parts.random()), signal);
      this.round += 1;
      this.forgetUnlisted();
      await Promise.all(this.engineServices().map((service) => this.pollService(service)));
    }
  }

  private engineServices(): ServiceId[] {
    const services = this.parts.state.config?.services;
    if (!services) return [];
    return [...services.values()].filter((s) => s.engine !== undefined).map((s) => s.id);
  }

  private forgetUnlisted(): void {
    for (const id of this.groupByEngine.keys())
      if (!this.parts.state.list.has(id)) this.groupByEngine.delete(id);
    for (const id of this.demandTakers)
      if (!this.parts.state.list.has(id)) this.demandTakers.delete(id);
  }

  /** Polls each known group once, and one engine whose group is unknown. */
  private async pollService(service: ServiceId): Promise<void> {
    const engines = [...this.parts.state.list.values()].filter((e) => e.service === service);
    const byGroup = new Map<GroupId | undefined, PublishedEndpoint[]>();
    for (const engine of engines) {
      const group = this.groupByEngine.get(engine.id);
      byGroup.set(group, [...(byGroup.get(group) ?? []), engine]);
    }
    await Promise.all([...byGroup].map((entry) => this.pollGroup(service, engines, ...entry)));
  }

  private async pollGroup(
    service: ServiceId,
    listed: readonly PublishedEndpoint[],
    group: GroupId | undefined,
    members: readonly PublishedEndpoint[],
  ): Promise<void> {
    const { parts } = this;
    const near = members.filter((e) => e.dataCentre === parts.dataCentre);
    const sends = group === undefined || near.length > 0 || parts.hasRequests(service, group);
    if (!sends && this.round % REMOTE_POLL_ROUNDS !== 0) return;
    const choices = near.length > 0 ? near : members;
    const agent = this.chooseAgent(group, choices);
    if (!agent) return;
    try {
      const address = `${hostOf(agent.address)}:${parts.port}`;
      const demand = sends ? this.demandDue(service, group, agent) : undefined;
      const digest = await parts.ask(address, sends, POLL_TIMEOUT_MS, demand);
      if (digest?.takesDemand) this.demandTakers.add(agent.id);
      if (digest?.whole) this.applyDigest(service, digest, listed);
      this.updatePreferredAgent(group, agent, digest);
    } catch (err) {
      this.updatePreferredAgent(group, agent, undefined);
      this.demandTakers.delete(agent.id);
      if (group !== undefined) this.demandReportedAtMs.delete(group);
      parts.metrics.count('group_asks_failed_total');
      if (!this.isFailing)
        parts.log.info('group.lost', { agent: hostOf(agent.address), err: errorText(err) });
      this.isFailing = true;
    }
  }

  /** Returns the demand to report to an agent with this poll, if any; records the time. */
  private demandDue(
    service: ServiceId,
    group: GroupId | undefined,
    agent: PublishedEndpoint,
  ): Demand | undefined {
    if (group === undefined || !this.demandTakers.has(agent.id)) return undefined;
    const nowMs = this.parts.clock.nowMs();
    const reportedAtMs = this.demandReportedAtMs.get(group) ?? Number.NEGATIVE_INFINITY;
    if (nowMs - reportedAtMs < DEMAND_INTERVAL_MS) return undefined;
    this.demandReportedAtMs.set(group, nowMs);
    return this.parts.demandOf?.(service, group);
  }

  /** Returns the preferred agent of a group if it is among the choices, else a random one. */
  private chooseAgent(
    group: GroupId | undefined,
    choices: readonly PublishedEndpoint[],
  ): PublishedEndpoint | undefined {
    const preferred = group === undefined ? undefined : this.preferredAgents.get(group);
    const any = choices[Math.floor(this.parts.random() * choices.length)];
    return choices.find((agent) => agent.id === preferred) ?? any;
  }

  /**
   * Keeps an agent as preferred only while its digests are fresh. An agent that is cut off from its coordinator
   * still answers, and would otherwise be polled until the partition ends.
   */
  private updatePreferredAgent(
    group: GroupId | undefined,
    agent: PublishedEndpoint,
    digest: GroupDigest | undefined,
  ): void {
    if (group === undefined) return;
    if (digest?.whole && digest.ageMs <= FRESH_DIGEST_MS) this.preferredAgents.set(group, agent.id);
    else this.preferredAgents.delete(group);
  }

  private applyDigest(
    service: ServiceId,
    digest: GroupDigest,
    listed: readonly PublishedEndpoint[],
  ): void {
    const group = asId<GroupId>(digest.group);
    const countedAtMs = this.parts.clock.nowMs() - digest.ageMs;
    if (countedAtMs < (this.results.get(group)?.size.countedAtMs ?? 0)) return;
    const engines = new Map<EndpointId, EngineStatus>();
    const meanLoad = digest.running / Math.max(1, digest.hosts.length);
    const refusing = new Set<string>();
    for (const engine of listed) {
      const rank = digest.hosts.indexOf(hostOf(engine.address));
      if (rank < 0) continue;
      engines.set(engine.id, {
        pace: digest.pace[rank] ?? 1,
        load: digest.load[rank] ?? 0,
        meanLoad,
        countedAtMs,
      });
      this.groupByEngine.set(engine.id, group);
      if (!this.parts.state.isAvailable(engine.id)) refusing.add(hostOf(engine.address));
    }
    const size: GroupLoad = {
      ranks: usableRanks(digest, refusing),
      running: digest.running,
      entries: digest.entries,
      countedAtMs,
      ...(digest.demand && { demand: digest.demand }),
    };
    this.results.set(group, { engines, size });
    if (this.isFailing) this.parts.log.info('group.regained', { group, engines: engines.size });
    this.isFailing = false;
    this.parts.onUpdate(service, group);
  }
}
