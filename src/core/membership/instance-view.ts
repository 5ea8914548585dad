/** The list of instances, indexed for those who decide by it. */
import type { InstanceList, InstanceRecord } from '../../generated/instances.types.js';
import { rendezvousOrder } from './rendezvous.js';

/** One listed instance with its address for other daemons. */
export type ListedInstance = InstanceRecord & { readonly address: string };

/** An index over one version of the list. */
export interface InstanceView {
  readonly version: number;
  readonly all: readonly ListedInstance[];
  readonly byInstance: ReadonlyMap<string, ListedInstance>;
  /** Agents by the endpoint that they stand beside. */
  readonly agentByEndpoint: ReadonlyMap<string, ListedInstance>;
  /** Endpoints that take requests. */
  readonly endpoints: readonly ListedInstance[];
  /** Entries not leaving, the count by which shares are split. */
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
  const byCentre = new Map<string, ListedInstance[]>();
  for (const instance of all) {
    if (instance.state !== 'live' || instance.role === 'endpoint') continue;
    const members = byCentre.get(instance.dataCentre);
    if (members) members.push(instance);
    else byCentre.set(instance.dataCentre, [instance]);
  }
  for (const [centre, members] of byCentre) {
    byCentre.set(
      centre,
      rendezvousOrder(`relay/${centre}`, members, (i) => i.instance),
    );
  }
  return byCentre;
}

/**
 * Indexes a list.
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
 * The daemons of a data centre that watch the platform for the rest of it.
 * @example relaysOf(view, 'kgl-a', 2).map((r) => r.instance)
 */
export function relaysOf(view: InstanceView, dataCentre: string, count: number): ListedInstance[] {
  return (view.relayOrder.get(dataCentre) ?? []).slice(0, count);
}
