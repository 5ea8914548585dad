/** The list of instances, indexed for lookups. */
import type { InstanceList, InstanceRecord } from '../../generated/instances.types.js';
import { rendezvousOrder } from './rendezvous.js';

/** A listed instance with its address for other daemons. */
export type ListedInstance = InstanceRecord & { readonly address: string };

/** An index of one version of the list. */
export interface InstanceView {
  readonly version: number;
  readonly all: readonly ListedInstance[];
  readonly byInstance: ReadonlyMap<string, ListedInstance>;
  /** Agents by the endpoint that they run beside. */
  readonly agentByEndpoint: ReadonlyMap<string, ListedInstance>;
  /** Endpoints that serve requests. */
  readonly endpoints: readonly ListedInstance[];
  /** Number of entries that are not leaving, by which shares are divided. */
  readonly liveEntries: number;
  readonly relayOrder: ReadonlyMap<string, readonly ListedInstance[]>;
}

export const EMPTY_VIEW: InstanceView = {
  version: 0,
  all: [],
  byInstance: new Map(),
  agentByEndpoint: new Map(),
  endpoints: [],
  liveEntries: 0,
  relayOrder: new Map(),
};

function orderRelays(all: readonly ListedInstance[]): Map<string, ListedInstance[]> {
  const byDataCentre = new Map<string, ListedInstance[]>();
  for (const instance of all) {
    if (instance.state !== 'live' || instance.role === 'endpoint') continue;
    const members = byDataCentre.get(instance.dataCentre);
    if (members) members.push(instance);
    else byDataCentre.set(instance.dataCentre, [instance]);
  }
  for (const [dataCentre, members] of byDataCentre) {
    byDataCentre.set(
      dataCentre,
      rendezvousOrder(`relay/${dataCentre}`, members, (i) => i.instance),
    );
  }
  return byDataCentre;
}

/**
 * Builds the index of a list.
 * @example buildInstanceView(list).agentByEndpoint.get('kgl-a-model-1')?.address
 */
export function buildInstanceView(list: InstanceList): InstanceView {
  const all = list.instances.map((i) => ({ ...i, address: `${i.host}:${i.port}` }));
  const agents = all.filter((i) => i.role === 'agent' && i.endpoint !== undefined);
  return {
    version: list.version,
    all,
    byInstance: new Map(all.map((i) => [i.instance, i])),
    agentByEndpoint: new Map(agents.map((i) => [i.endpoint as string, i])),
    endpoints: all.filter((i) => i.role === 'endpoint' && i.endpoint !== undefined),
    liveEntries: all.filter((i) => i.role === 'entry' && i.state === 'live').length,
    relayOrder: orderRelays(all),
  };
}

/**
 * Returns the daemons of a data centre that watch the platform on behalf of the others.
 * @example relaysOf(view, 'kgl-a', 2).map((r) => r.instance)
 */
export function relaysOf(view: InstanceView, dataCentre: string, count: number): ListedInstance[] {
  return (view.relayOrder.get(dataCentre) ?? []).slice(0, count);
}
