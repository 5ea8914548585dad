/** What the published list tells an agent of its own group. */
import {
  hostOf,
  type EngineInfo,
  type PublishedEndpoint,
  type PublishedState,
} from '../core/published/index.js';
import type { ListenAddress } from '../gateway/types.js';

/** The group of the engine beside this agent, as it is published now. */
export class OwnGroup {
  private readonly ownAddress: string;

  /** @param agentPort port of the agents; the same on all instances */
  constructor(
    private readonly state: PublishedState,
    ownEndpoint: ListenAddress,
    private readonly agentPort: number,
  ) {
    this.ownAddress = `${ownEndpoint.host}:${ownEndpoint.port}`;
  }

  /** What the group's engines are; undefined while this one is not listed. */
  engine(): EngineInfo | undefined {
    const service = this.own()?.service;
    return service && this.state.config?.services.get(service)?.engine;
  }

  /** Addresses of its agents, in order: one runs beside each engine, at the engine's own host. */
  agents(): string[] {
    const service = this.own()?.service;
    return [...this.state.list.values()]
      .filter((endpoint) => endpoint.service === service)
      .map((endpoint) => `${hostOf(endpoint.address)}:${this.agentPort}`)
      .sort();
  }

  private own(): PublishedEndpoint | undefined {
    return [...this.state.list.values()].find((e) => e.address === this.ownAddress);
  }
}
