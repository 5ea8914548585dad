/** One entry of the model, from the parts of the real program: what it hears of limits, and the tokens it asks for. */
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
import type { MakeEntry, ModelEndpoint, ModelEntry, ModelParts } from './fleet.js';
import type { Node } from './network.js';

const TELL_EVERY_MS = 400;
const HEAR_EVERY_MS = 700;
const CALL_MS = 500;

const nameOf = ({ index }: Node): string => `relay-${index}:1`;

class Entry implements ModelEntry {
  readonly gossip: RateLimitGossip;
  readonly grants: TokenGrants;
  private readonly updates: LimitUpdates;
  private readonly limiters: RelayLimiters;
  private readonly gates = new Map<string, EndpointGate>();
  private heard = NO_VERSION;
  private heardLife = -1;
  private relay: number;

  constructor(private readonly parts: ModelParts) {
    const { time, random, name, node, relays } = parts;
    this.relay = node.index;
    this.gossip = new RateLimitGossip({ clock: time, isListed: () => true });
    const limiting = { clock: time, random, limits: this.gossip.limits };
    this.grants = new TokenGrants({ ...limiting, shards: shardCount(relays.length) });
    this.limiters = new RelayLimiters({
      ...limiting,
      own: asId(name),
      log: silentLog,
      relays: relays.map(nameOf),
      ask: (relay, request) =>
        this.call(relay, (entry) => entry.grants.take(request), TOKEN_TIMEOUT_MS),
      countKnown: () => 0,
      onResult: () => undefined,
    });
    this.updates = new LimitUpdates({
      clock: time,
      relays: this.others().map(nameOf),
      describe: (id) => this.gossip.limits.describe(id),
      send: (relay, limits) =>
        this.call(relay, (entry) => void entry.gossip.mergeFromPeer({ limits }), CALL_MS),
      onFailed: () => undefined,
    });
    time.every(TELL_EVERY_MS, TELL_EVERY_MS * random(), () => {
      if (parts.isAlive()) this.updates.flush(this.gossip.pendingUpdates());
    });
    time.every(HEAR_EVERY_MS, HEAR_EVERY_MS * random(), () => this.hear());
  }

  private others(): Node[] {
    return this.parts.relays.filter((relay) => relay !== this.parts.node);
  }

  private call<T>(name: string, run: (entry: Entry) => T, withinMs: number): Promise<T> {
    const { network, node, entryAt, relays } = this.parts;
    const relay = relays.find((one) => nameOf(one) === name);
    if (!relay) return Promise.reject(new Error(`${name} is no relay`));
    if (relay === node) return Promise.resolve(run(this));
    return network.call(node, relay, () => run(entryAt(relay) as Entry), withinMs);
  }

  private hear(): void {
    const others = this.others();
    const isRelay = others.length < this.parts.relays.length;
    const relay = others[this.relay % Math.max(1, others.length)];
    if (!relay || isRelay || !this.parts.isAlive()) return;
    const { life } = relay;
    const heard = this.heardLife === life ? this.heard : NO_VERSION;
    this.call(nameOf(relay), (entry) => entry.gossip.deltaSince(heard), CALL_MS).then(
      (news) => {
        this.heardLife = life;
        this.heard = news?.heard ?? NO_VERSION;
        if (news) this.gossip.mergeFromRelay(news);
      },
      () => (this.relay += 1),
    );
  }

  private gateOf(endpoint: ModelEndpoint): EndpointGate {
    const known = this.gates.get(endpoint.id);
    if (known) return known;
    const made = new EndpointGate(this.limiters.of(endpoint));
    this.gates.set(endpoint.id, made);
    return made;
  }

  mayAcquire(endpoint: ModelEndpoint): boolean {
    const nowMs = this.parts.time.nowMs();
    return this.gateOf(endpoint).opening(nowMs).atMs <= nowMs;
  }

  acquire(endpoint: ModelEndpoint): Promise<boolean> {
    return this.gateOf(endpoint).acquire();
  }

  noteAnswer(endpoint: ModelEndpoint, limitPerS: number | undefined, sentAtMs: number): void {
    if (limitPerS === undefined) this.gossip.limits.noteUnnamed(endpoint, sentAtMs);
    else this.gossip.limits.noteNamed(endpoint, limitPerS);
  }
}

/** Makes an entry of the real parts. */
export const makeEntry: MakeEntry = (parts) => new Entry(parts);
