/**
 * In-process followers of the published state, whose open connections to the store and relays can
 * be made unresponsive.
 */
import { setMaxListeners } from 'node:events';
import type { Server } from 'node:http';
import { setTimeout as wait } from 'node:timers/promises';
import { LoopbackProxy, type Address } from '../../bench/soak/proxy.js';
import { startStore, type FakeStore } from '../../fakes/store/index.js';
import { connectStore } from '../../platform/store-client.js';
import { sleep, systemClock } from '../../src/core/clock/index.js';
import { asId } from '../../src/core/ids/index.js';
import { silentLog } from '../../src/core/logging/index.js';
import { Metrics } from '../../src/core/metrics/index.js';
import {
  entryPace,
  ENTRY_RELAYED_PACE,
  followPublished,
  PublishedRelay,
  PublishedState,
  RELAY_PACE,
  RelayedSource,
  type FollowDeps,
} from '../../src/core/published/index.js';
import { requestFromRelay, createPeers } from '../../src/rpc/peers.js';
import { testClientLimits } from '../fixtures/client-limits.js';
import { createRpcServer } from '../../src/rpc/serve.js';
import { ConnectionPools } from '../../src/runtime/connection-pools.js';
import { until } from '../fixtures/until.js';

/**
 * Time after its connections became unresponsive from which a daemon must be up to date again, ms.
 */
const CONTACT_MS = 3000;
/** Idle timeout of store connections, ms; long enough that clients hold unresponsive ones. */
const STORE_IDLE_MS = 65_000;

/** Endpoints that leave: one announces it, of the other only the record is removed. */
const LEAVING = { announced: 'says-so', removed: 'is-gone' } as const;

/** The published configuration of a version. */
function configDocument(version: number): object {
  return { version, routes: [], services: [{ name: 's-1' }], limits: {} };
}

function endpointRecord(state: 'ready' | 'draining'): object {
  return { service: 's-1', address: '10.0.0.1:80', zone: 'a', slots: 6, state };
}

/** First port of a fleet on its own address. */
const FIRST_PORT = 20_000;
let fleetCount = 0;

/**
 * A separate address for each fleet, so that no outgoing connection of another test takes its
 * ports.
 */
function nextHost(): string {
  fleetCount += 1;
  return `127.${1 + (process.pid % 200)}.${fleetCount}.1`;
}

/** Daemons that follow the published state through proxies to the store and to relays. */
export class FollowerFleet {
  readonly states: PublishedState[] = [];
  private readonly proxies: LoopbackProxy[] = [];
  private readonly servers: Server[] = [];
  private readonly followers: Promise<void>[] = [];
  private readonly shutdown = new AbortController();
  private readonly host = nextHost();
  private ports = FIRST_PORT;
  private relays: readonly { readonly address: string; readonly control: Address }[] = [];

  private constructor(private readonly store: FakeStore) {
    // Each daemon adds a listener to this signal.
    setMaxListeners(0, this.shutdown.signal);
  }

  /** Starts a fleet without daemons; its store holds a first configuration and two endpoints. */
  static async start(): Promise<FollowerFleet> {
    const store = await startStore(STORE_IDLE_MS);
    store.put('op/config', configDocument(1));
    for (const id of Object.values(LEAVING)) store.put(`servers/${id}`, endpointRecord('ready'));
    return new FollowerFleet(store);
  }

  /** Makes every open connection unresponsive for good, without a reset; new ones work. */
  silence(): void {
    for (const proxy of this.proxies) proxy.blackholeConnections();
  }

  /** Publishes the second configuration version and lets both endpoints leave. */
  change(): void {
    this.store.put('op/config', configDocument(2));
    this.store.put(`servers/${LEAVING.announced}`, endpointRecord('draining'));
    this.store.remove(`servers/${LEAVING.removed}`);
  }

  /** Number of daemons that have applied a first configuration. */
  get started(): number {
    return this.states.filter((state) => state.config !== undefined).length;
  }

  /** Describes each daemon that still uses outdated state. */
  staleDaemons(): string[] {
    return this.states.flatMap((state, i) => [
      ...(state.config?.version === 2 ? [] : [`daemon ${i}: configuration`]),
      ...Object.values(LEAVING)
        .filter((id) => state.isAvailable(asId(id)))
        .map((id) => `daemon ${i}: endpoint ${id}`),
    ]);
  }

  /** Starts a daemon that reads from the store only. */
  async followStore(): Promise<void> {
    const state = new PublishedState();
    this.states.push(state);
    this.follow({
      state,
      source: connectStore(await this.storeUrl()),
      pace: entryPace(CONTACT_MS),
    });
  }

  /** Starts proxies for the relays that daemons started later read from. */
  async startRelayProxies(count: number): Promise<void> {
    this.relays = await Promise.all(
      Array.from({ length: count }, async () => {
        const control = this.nextAddress();
        const { host, port } = await this.startProxy(control);
        return { address: `${host}:${port}`, control };
      }),
    );
  }

  /** Starts a daemon that reads from the relays; with `at` it is that relay itself. */
  async followRelays(at?: number): Promise<void> {
    const state = new PublishedState();
    this.states.push(state);
    const peers = createPeers(new ConnectionPools({ connect: { timeout: 500 } }));
    const shared = { state, clock: systemClock, log: silentLog };
    const isRelay = at !== undefined;
    const source = new RelayedSource({
      ...shared,
      store: connectStore(await this.storeUrl()),
      relays: this.relays.filter((_, i) => i !== at).map(({ address }) => address),
      isRelay,
      ask: requestFromRelay(peers),
      pause: sleep,
      pace: ENTRY_RELAYED_PACE,
      wantsConfig: () => true,
    });
    const relay = new PublishedRelay({
      ...shared,
      life: asId(`life-${this.states.length}`),
      isDirect: () => source.isDirect,
    });
    if (isRelay) {
      const server = createRpcServer(
        { published: (ask) => relay.answer(ask) },
        { limits: testClientLimits() },
      );
      this.servers.push(server.listen(this.relays[at]?.control.port, this.host));
    }
    const pace = isRelay ? RELAY_PACE : entryPace(CONTACT_MS);
    this.follow({ state, source, pace, onRefresh: () => relay.recordChanges() });
  }

  /** URL of a new proxy to the store, for one daemon. */
  private async storeUrl(): Promise<string> {
    const { host, port } = await this.startProxy({ host: this.store.host, port: this.store.port });
    return `http://${host}:${port}`;
  }

  private async startProxy(target: Address): Promise<Address> {
    const at = this.nextAddress();
    this.proxies.push(await LoopbackProxy.start(at, target));
    return at;
  }

  private nextAddress(): Address {
    this.ports += 1;
    return { host: this.host, port: this.ports };
  }

  private follow(parts: Pick<FollowDeps, 'state' | 'source' | 'pace' | 'onRefresh'>): void {
    const metrics = new Metrics();
    const common = { clock: systemClock, log: silentLog, metrics, random: Math.random };
    this.followers.push(followPublished({ ...parts, ...common }, this.shutdown.signal));
  }

  /** Stops all daemons, proxies and servers. */
  async close(): Promise<void> {
    this.shutdown.abort();
    for (const proxy of this.proxies) proxy.close();
    for (const server of this.servers) server.close();
    this.store.close();
    await Promise.all(this.followers);
  }
}

/** Time within which a change must be applied, ms. */
const APPLY_MS = 2000;

/** Interval at which `runFor` measures how long this process has run, ms. */
const TICK_MS = 10;

/**
 * Waits until this process has actually run for `ms`. On a busy machine the daemons and their store
 * stall together with the test, because they share its process: beside 25 processes on 8 processors
 * all daemons were late because of their own stalls.
 */
async function runFor(ms: number): Promise<void> {
  let ranMs = 0;
  while (ranMs < ms) {
    const fromMs = systemClock.nowMs();
    await wait(TICK_MS);
    ranMs += Math.min(systemClock.nowMs() - fromMs, 2 * TICK_MS);
  }
}

/**
 * Silences a fleet, publishes a change `afterMs` later, and returns who is stale after the allowed time.
 * @example assert.deepEqual(await staleAfterSilence(fleet, 500), []);
 */
export async function staleAfterSilence(fleet: FollowerFleet, afterMs: number): Promise<string[]> {
  await until('all daemons have a configuration', () => fleet.started === fleet.states.length);
  fleet.silence();
  await runFor(afterMs);
  fleet.change();
  await runFor(Math.max(CONTACT_MS - afterMs, APPLY_MS));
  return fleet.staleDaemons();
}
