/**
 * What an agent knows about its own group. The published list names the engines of a service, which
 * may have several groups; only the engines report which of them form a group.
 */
import type { RankReply } from '../core/groups/index.js';
import type { EndpointId } from '../core/ids/index.js';
import {
  hostOf,
  type EngineInfo,
  type PublishedEndpoint,
  type PublishedState,
  type ServiceId,
} from '../core/published/index.js';
import type { ListenAddress } from '../gateway/types.js';
import type { GroupDigest } from '../generated/messages.types.js';
import { mayBeSameGroup } from './group-view.js';

/** The group of the engine beside this agent. */
export class OwnGroup {
  private readonly ownAddress: string;
  private name: string | undefined;
  private ownRank: number | undefined;
  private ranks: number | undefined;
  /** Hosts of the members when the group was last seen complete. */
  private lastCompleteHosts: readonly string[] = [];
  private service: ServiceId | undefined;
  /** Groups of the service's engines, as far as reported. */
  private readonly groupOf = new Map<EndpointId, string>();

  /** @param agentPort port of the agents; the same on all instances */
  constructor(
    private readonly state: PublishedState,
    ownEndpoint: ListenAddress,
    private readonly agentPort: number,
  ) {
    this.ownAddress = `${ownEndpoint.host}:${ownEndpoint.port}`;
  }

  /** Name of the group; undefined until the own engine has reported it. */
  get group(): string | undefined {
    return this.name;
  }

  /** Rank of the own engine; undefined until the engine has reported it. */
  get rank(): number | undefined {
    return this.ownRank;
  }

  /** Published properties of the group's engines; undefined until this engine has been listed. */
  engineInfo(): EngineInfo | undefined {
    const service = this.ownService();
    return service && this.state.config?.services.get(service)?.engine;
  }

  /**
   * Whether this engine is listed but the properties of its service's engines are not published.
   */
  lacksEngineInfo(): boolean {
    return this.ownEndpointRecord() !== undefined && this.engineInfo() === undefined;
  }

  /**
   * Sorted addresses of the group's agents: one runs beside each engine, on the engine's host.
   * Until all members are known and listed, this includes agents whose group is unknown and the
   * members when the group was last complete: an engine on an instance that stalled for 4 s is
   * listed again only seconds later.
   */
  agents(): string[] {
    const listed = this.listedEndpoints();
    const members = this.membersOf(listed);
    const isComplete = this.hasAllMembers(members);
    const polled = isComplete ? members : listed.filter((e) => this.mayBeMember(e));
    const hosts = new Set(polled.map((endpoint) => hostOf(endpoint.address)));
    if (!isComplete) for (const host of this.lastCompleteHosts) hosts.add(host);
    return [...hosts].map((host) => `${host}:${this.agentPort}`).sort();
  }

  /** Whether all members are known and listed. */
  isComplete(): boolean {
    return this.hasAllMembers(this.membersOf(this.listedEndpoints()));
  }

  /** Records a reply of the own engine. */
  recordOwnReply(reply: RankReply): void {
    this.name = reply.group ?? this.name;
    this.ownRank = reply.rank ?? this.ownRank;
    this.ranks = reply.ranks ?? this.ranks;
  }

  /** Records to which group the engine beside an agent belongs. */
  recordReply(address: string, reply: RankReply): void {
    const { group } = reply;
    const endpoint = this.listedEndpoints().find((e) => this.agentOf(e) === address);
    if (endpoint && group !== undefined) this.groupOf.set(endpoint.id, group);
  }

  /** Records the members reported by the group's coordinator. */
  recordDigest(digest: GroupDigest): void {
    if (!digest.whole) return;
    this.lastCompleteHosts = digest.hosts;
    const hosts = new Set(digest.hosts);
    const listed = this.listedEndpoints();
    for (const endpoint of listed)
      if (hosts.has(hostOf(endpoint.address))) this.groupOf.set(endpoint.id, digest.group);
    const ids = new Set(listed.map((endpoint) => endpoint.id));
    for (const id of this.groupOf.keys()) if (!ids.has(id)) this.groupOf.delete(id);
  }

  private membersOf(listed: readonly PublishedEndpoint[]): PublishedEndpoint[] {
    return listed.filter((e) => this.groupOf.get(e.id) === this.name);
  }

  private hasAllMembers(members: readonly PublishedEndpoint[]): boolean {
    return this.name !== undefined && members.length === this.ranks;
  }

  private mayBeMember(endpoint: PublishedEndpoint): boolean {
    return mayBeSameGroup(this.name, this.groupOf.get(endpoint.id));
  }

  private listedEndpoints(): PublishedEndpoint[] {
    const service = this.ownService();
    return [...this.state.list.values()].filter((endpoint) => endpoint.service === service);
  }

  /** Service of the own engine; kept while the engine is temporarily not listed. */
  private ownService(): ServiceId | undefined {
    this.service = this.ownEndpointRecord()?.service ?? this.service;
    return this.service;
  }

  private agentOf(endpoint: PublishedEndpoint): string {
    return `${hostOf(endpoint.address)}:${this.agentPort}`;
  }

  /**
   * Record of the own engine; its address may also be published under a service without engines.
   */
  private ownEndpointRecord(): PublishedEndpoint | undefined {
    const atOwnAddress = [...this.state.list.values()].filter((e) => e.address === this.ownAddress);
    return (
      atOwnAddress.find((e) => this.state.config?.services.get(e.service)?.engine) ??
      atOwnAddress[0]
    );
  }
}
