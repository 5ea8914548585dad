/**
 * One simulated entry, built from the components of the daemon: it exchanges limit updates with the
 * relays and requests tokens from them.
 */
import {
  RateLimitGossip,
  EndpointGate,
  LimitUpdates,
  NO_VERSION,
  RelayLimiters,
  shardCount,
  TOKEN_TIMEOUT_MS,
  TokenGrants,
} from '../../src/core/backpressure/index.js';
import { asId } from '../../src/core/ids/index.js';
import { silentLog } from '../../src/core/logging/index.js';
import type {
  CreateEntry,
  SimulatedEndpoint,
  SimulatedEntry,
  SimulatedEntryDeps,
} from './fleet.js';
import type { Node } from './network.js';

const UPDATE_INTERVAL_MS = 400;
const POLL_INTERVAL_MS = 700;
const CALL_TIMEOUT_MS = 500;

const relayAddress = ({ index }: Node): string => `relay-${index}:1`;

class Entry implements SimulatedEntry {
  readonly gossip: RateLimitGossip;
  readonly grants: TokenGrants;
  private readonly updates: LimitUpdates;
  private readonly limiters: RelayLimiters;
  private readonly gates = new Map<string, EndpointGate>();
  /** Version of the last update received, and the incarnation of the relay that sent it. */
  private receivedVersion = NO_VERSION;
  private receivedIncarnation = -1;
  /** Relay that is polled; the next one after a failed call. */
  private relayIndex: number;

  constructor(private readonly deps: SimulatedEntryDeps) {
    const { time, random, name, node, relays } = deps;
    this.relayIndex = node.index;
    this.gossip = new RateLimitGossip({ clock: time, isListed: () => true });
    const limiterDeps = { clock: time, random, limits: this.gossip.limits };
    this.grants = new TokenGrants({ ...limiterDeps, shards: shardCount(relays.length) });
    this.limiters = new RelayLimiters({
      ...limiterDeps,
      own: asId(name),
      log: silentLog,
      relays: relays.map(relayAddress),
      ask: (relay, request) =>
        this.call(relay, (entry) => entry.grants.take(request), TOKEN_TIMEOUT_MS),
      countKnown: () => 0,
      onResult: () => undefined,
    });
    this.updates = new LimitUpdates({
      clock: time,
      relays: this.otherRelays().map(relayAddress),
      describe: (id) => this.gossip.limits.describe(id),
      send: (relay, limits) =>
        this.call(relay, (entry) => void entry.gossip.mergeFromPeer({ limits }), CALL_TIMEOUT_MS),
      onFailed: () => undefined,
    });
    time.every(UPDATE_INTERVAL_MS, UPDATE_INTERVAL_MS * random(), () => {
      if (deps.isAlive()) this.updates.flush(this.gossip.pendingUpdates());
    });
    time.every(POLL_INTERVAL_MS, POLL_INTERVAL_MS * random(), () => this.pollRelay());
  }

  private otherRelays(): Node[] {
    return this.deps.relays.filter((relay) => relay !== this.deps.node);
  }

  private call<T>(address: string, run: (entry: Entry) => T, timeoutMs: number): Promise<T> {
    const { network, node, entryAt, relays } = this.deps;
    const relay = relays.find((candidate) => relayAddress(candidate) === address);
    if (!relay) return Promise.reject(new Error(`no relay has the address ${address}`));
    if (relay === node) return Promise.resolve(run(this));
    return network.call(node, relay, () => run(entryAt(relay) as Entry), timeoutMs);
  }

  private pollRelay(): void {
    const others = this.otherRelays();
    const isRelay = others.length < this.deps.relays.length;
    const relay = others[this.relayIndex % Math.max(1, others.length)];
    if (!relay || isRelay || !this.deps.isAlive()) return;
    const { incarnation } = relay;
    const knownVersion =
      this.receivedIncarnation === incarnation ? this.receivedVersion : NO_VERSION;
    this.call(
      relayAddress(relay),
      (entry) => entry.gossip.deltaSince(knownVersion),
      CALL_TIMEOUT_MS,
    ).then(
      (update) => {
        this.receivedIncarnation = incarnation;
        this.receivedVersion = update?.heard ?? NO_VERSION;
        if (update) this.gossip.mergeFromRelay(update);
      },
      () => (this.relayIndex += 1),
    );
  }

  private gateOf(endpoint: SimulatedEndpoint): EndpointGate {
    const existing = this.gates.get(endpoint.id);
    if (existing) return existing;
    const gate = new EndpointGate(this.limiters.of(endpoint));
    this.gates.set(endpoint.id, gate);
    return gate;
  }

  mayAcquire(endpoint: SimulatedEndpoint): boolean {
    const nowMs = this.deps.time.nowMs();
    return this.gateOf(endpoint).opening(nowMs).atMs <= nowMs;
  }

  acquire(endpoint: SimulatedEndpoint): Promise<boolean> {
    return this.gateOf(endpoint).acquire();
  }

  noteResponse(endpoint: SimulatedEndpoint, limitPerS: number | undefined, sentAtMs: number): void {
    if (limitPerS === undefined) this.gossip.limits.noteUnnamed(endpoint, sentAtMs);
    else this.gossip.limits.noteNamed(endpoint, limitPerS);
  }
}

/** Creates an entry from the components of the daemon. */
export const createEntry: CreateEntry = (deps) => new Entry(deps);
