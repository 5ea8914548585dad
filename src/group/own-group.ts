/**
 * What an agent knows of its own group. The published list names the engines of a service, and a service may have
 * several groups: which engines make up one of them is told by the engines only.
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
  /** Hosts of the members when the group was last seen whole. */
  private lastCompleteHosts: readonly string[] = [];
  private service: ServiceId | undefined;
  /** Groups of the service's engines, as far as they were told. */
  private readonly groupOf = new Map<EndpointId, string>();

  /** @param agentPort port of the agents; the same on all instances */
  constructor(
    private readonly state: PublishedState,
    ownEndpoint: ListenAddress,
    private readonly agentPort: number,
  ) {
    this.ownAddress = `${ownEndpoint.host}:${ownEndpoint.port}`;
  }

  /** Name of the group; undefined until its own engine has told it. */
  get group(): string | undefined {
    return this.name;
  }

  /** Rank of the own engine; undefined until it has told it. */
  get rank(): number | undefined {
    return this.ownRank;
  }

  /** What the group's engines are; undefined while this one is not listed. */
  engineInfo(): EngineInfo | undefined {
    const service = this.ownService();
    return service && this.state.config?.services.get(service)?.engine;
  }

  /** Whether this engine is listed and nothing tells what engines of its service are. */
  lacksEngineInfo(): boolean {
    return this.ownEndpointRecord() !== undefined && this.engineInfo() === undefined;
  }

  /**
   * Addresses of its agents, in order: one runs beside each engine, at the engine's own host. While not all
   * members are known and listed, those whose group is unknown are among them, and those that the group had
   * when it was last seen whole: an engine whose machine stood still for 4 s is listed again seconds later.
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

  /** Notes what the own engine tells. */
  recordOwnReply(reply: RankReply): void {
    this.name = reply.group ?? this.name;
    this.ownRank = reply.rank ?? this.ownRank;
    this.ranks = reply.ranks ?? this.ranks;
  }

  /** Notes to which group the engine beside an agent belongs. */
  recordReply(address: string, reply: RankReply): void {
    const { group } = reply;
    const endpoint = this.listedEndpoints().find((e) => this.agentOf(e) === address);
    if (endpoint && group !== undefined) this.groupOf.set(endpoint.id, group);
  }

  /** Notes the members that the group's coordinator saw. */
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

  /** The service of the own engine; it stays while the engine is not listed for a moment. */
  private ownService(): ServiceId | undefined {
    this.service = this.ownEndpointRecord()?.service ?? this.service;
    return this.service;
  }

  private agentOf(endpoint: PublishedEndpoint): string {
    return `${hostOf(endpoint.address)}:${this.agentPort}`;
  }

  /** The record of the own engine; others may have written its address as well, under a service of no engines. */
  private ownEndpointRecord(): PublishedEndpoint | undefined {
    const atOwnAddress = [...this.state.list.values()].filter((e) => e.address === this.ownAddress);
    return (
      atOwnAddress.find((e) => this.state.config?.services.get(e.service)?.engine) ??
      atOwnAddress[0]
    );
  }
}
