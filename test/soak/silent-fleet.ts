/** Followers of the published state before a store and relays whose open connections can be silenced, all in this process. */
import { setMaxListeners } from 'node:events';
import type { Server } from 'node:http';
import { setTimeout as wait } from 'node:timers/promises';
import { LoopbackProxy, type Address } from '../../bench/soak/proxy.js';
import { startStore, type StoreFake } from '../../fakes/store/index.js';
import { connectStore } from '../../platform/store-client.js';
import { sleep, systemClock } from '../../src/core/clock/index.js';
import { asId } from '../../src/core/ids/index.js';
import { silentLog } from '../../src/core/logging/index.js';
import { Metrics } from '../../src/core/metrics/index.js';
import {
  entryPace,
  ENTRY_RELAYED,
  followPublished,
  PublishedRelay,
  PublishedState,
  RELAY_PACE,
  RelayedSource,
  type FollowParts,
} from '../../src/core/published/index.js';
import { askRelay, createPeers } from '../../src/rpc/peers.js';
import { serveRpc } from '../../src/rpc/serve.js';
import { KeptConnections } from '../../src/runtime/connection-pools.js';
import { until } from '../fixtures/until.js';

/** After its connections fell silent a daemon is bound again by what is published from so long on, ms. */
const CONTACT_MS = 3000;
/** Time for which the store keeps idle connections, ms: a client may hold some that fell silent. */
const STORE_IDLE_MS = 65_000;

/** Endpoints whose leaving is watched: one says that it leaves, of the other only the record goes. */
const LEAVES = { saysSo: 'says-so', isGone: 'is-gone' } as const;

/** What is published, by version. */
function configDocument(version: number): object {
  return { version, routes: [], services: [{ name: 's-1' }], limits: {} };
}

function endpointRecord(state: 'ready' | 'draining'): object {
  return { service: 's-1', address: '10.0.0.1:80', zone: 'a', slots: 6, state };
}

/** First port of a fleet at its own address. */
const FIRST_PORT = 20_000;
let fleets = 0;

/** An address for each fleet: no outgoing connection of another test takes a port there. */
function nextHost(): string {
  fleets += 1;
  return `127.${1 + (process.pid % 200)}.${fleets}.1`;
}

/** A fleet of daemons that follow what is published. */
export class SilentFleet {
  readonly states: PublishedState[] = [];
  private readonly proxies: LoopbackProxy[] = [];
  private readonly servers: Server[] = [];
  private readonly following: Promise<void>[] = [];
  private readonly ending = new AbortController();
  private readonly host = nextHost();
  private ports = FIRST_PORT;
  private relays: readonly { readonly address: string; readonly control: Address }[] = [];

  private constructor(private readonly store: StoreFake) {
    // Each daemon listens to the one end of the fleet.
    setMaxListeners(0, this.ending.signal);
  }

  /** Starts a fleet without daemons; its store holds a first configuration and two endpoints. */
  static async start(): Promise<SilentFleet> {
    const store = await startStore(STORE_IDLE_MS);
    store.put('op/config', configDocument(1));
    for (const id of Object.values(LEAVES)) store.put(`servers/${id}`, endpointRecord('ready'));
    return new SilentFleet(store);
  }

  /** Silences every open connection of the fleet, for good and without a reset; new ones work. */
  silence(): void {
    for (const proxy of this.proxies) proxy.silence();
  }

  /** Publishes the second version, and lets both endpoints leave. */
  change(): void {
    this.store.put('op/config', configDocument(2));
    this.store.put(`servers/${LEAVES.saysSo}`, endpointRecord('draining'));
    this.store.remove(`servers/${LEAVES.isGone}`);
  }

  /** How many daemons have taken a first configuration. */
  get started(): number {
    return this.states.filter((state) => state.config !== undefined).length;
  }

  /** What the daemons that are not told otherwise by now act on wrongly, in words. */
  wrong(): string[] {
    return this.states.flatMap((state, i) => [
      ...(state.config?.version === 2 ? [] : [`daemon ${i}: configuration`]),
      ...Object.values(LEAVES)
        .filter((id) => state.takesWork(asId(id)))
        .map((id) => `daemon ${i}: endpoint ${id}`),
    ]);
  }

  /** Starts a daemon that asks the store alone. */
  async followStore(): Promise<void> {
    const state = new PublishedState();
    this.states.push(state);
    this.follow({
      state,
      source: connectStore(await this.storeUrl()),
      pace: entryPace(CONTACT_MS),
    });
  }

  /** Names the relays that daemons started from now on hear from. */
  async nameRelays(count: number): Promise<void> {
    this.relays = await Promise.all(
      Array.from({ length: count }, async () => {
        const control = this.nextAddress();
        const { host, port } = await this.startProxy(control);
        return { address: `${host}:${port}`, control };
      }),
    );
  }

  /** Starts a daemon that hears from the relays; with `at` it is that relay itself. */
  async followRelays(at?: number): Promise<void> {
    const state = new PublishedState();
    this.states.push(state);
    const peers = createPeers(new KeptConnections({ connect: { timeout: 500 } }));
    const shared = { state, clock: systemClock, log: silentLog };
    const isRelay = at !== undefined;
    const source = new RelayedSource({
      ...shared,
      store: connectStore(await this.storeUrl()),
      relays: this.relays.filter((_, i) => i !== at).map(({ address }) => address),
      isRelay,
      ask: askRelay(peers),
      pause: sleep,
      pace: ENTRY_RELAYED,
      wantsConfig: () => true,
    });
    const relay = new PublishedRelay({
      ...shared,
      life: asId(`life-${this.states.length}`),
      isDirect: () => source.isDirect,
    });
    if (isRelay) {
      const server = serveRpc({ published: (ask) => relay.answer(ask) });
      this.servers.push(server.listen(this.relays[at]?.control.port, this.host));
    }
    const pace = isRelay ? RELAY_PACE : entryPace(CONTACT_MS);
    this.follow({ state, source, pace, onLearnt: () => relay.noteLearnt() });
  }

  /** A way of one daemon to the store that can be silenced. */
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

  private follow(parts: Pick<FollowParts, 'state' | 'source' | 'pace' | 'onLearnt'>): void {
    const metrics = new Metrics();
    const rest = { clock: systemClock, log: silentLog, metrics, random: Math.random };
    this.following.push(followPublished({ ...parts, ...rest }, this.ending.signal));
  }

  /** Ends everything. */
  async close(): Promise<void> {
    this.ending.abort();
    for (const proxy of this.proxies) proxy.close();
    for (const server of this.servers) server.close();
    this.store.close();
    await Promise.all(this.following);
  }
}

/** Time within which a change must be in force, ms. */
const APPLY_MS = 2000;

/** How often it is looked how long this process has run, ms. */
const TICK_MS = 10;

/**
 * Waits until this process has run for so long: on a busy machine the daemons and their store, which are a part of it, stand
 * still as long as the test does. Beside 25 processes that ask for 8 processors all of them were late by their own stops.
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
 * Silences a fleet, changes what is published `afterMs` later, and tells who acts wrongly once the time for it is over.
 * @example assert.deepEqual(await wrongAfterSilence(fleet, 500), []);
 */
export async function wrongAfterSilence(fleet: SilentFleet, afterMs: number): Promise<string[]> {
  await until('all daemons know what is published', () => fleet.started === fleet.states.length);
  fleet.silence();
  await runFor(afterMs);
  fleet.change();
  await runFor(Math.max(CONTACT_MS - afterMs, APPLY_MS));
  return fleet.wrong();
}
