/** One entry of the model, from the parts of the real program: what it hears of limits, and what it may send. */
import {
  AskExchange,
  EndpointGate,
  limitShare,
  NOTHING_HEARD,
  releasedShare,
  type LimitShare,
} from '../../src/core/asks/index.js';
import { asId } from '../../src/core/ids/index.js';
import type { MakeEntry, ModelEndpoint, ModelEntry, ModelParts } from './fleet.js';
import type { Node } from './network.js';

const TELL_EVERY_MS = 400;
const HEAR_EVERY_MS = 700;
const CALL_MS = 500;

class Entry implements ModelEntry {
  readonly exchange: AskExchange;
  private readonly gates = new Map<string, EndpointGate>();
  private heard = NOTHING_HEARD;
  private heardLife = -1;
  private relay: number;

  constructor(private readonly parts: ModelParts) {
    const { time, random, name, node } = parts;
    this.exchange = new AskExchange({ clock: time, random, own: asId(name), countKnown: () => 0 });
    this.relay = node.index;
    time.every(TELL_EVERY_MS, TELL_EVERY_MS * random(), () => this.tell());
    time.every(HEAR_EVERY_MS, HEAR_EVERY_MS * random(), () => this.hear());
  }

  private tell(): void {
    if (!this.parts.isAlive()) return;
    const limits = this.exchange.toTell();
    if (!limits) return;
    const news = { from: this.parts.name, leaving: [], limits };
    for (const relay of this.others())
      void this.call(relay, (entry) => entry.exchange.takeNews(news)).catch(() => undefined);
  }

  private others(): Node[] {
    return this.parts.relays.filter((relay) => relay !== this.parts.node);
  }

  private call<T>(relay: Node, run: (entry: Entry) => T): Promise<T> {
    const { network, node, entryAt } = this.parts;
    return network.call(node, relay, () => run(entryAt(relay) as Entry), CALL_MS);
  }

  private hear(): void {
    const others = this.others();
    const isRelay = others.length < this.parts.relays.length;
    const relay = others[this.relay % Math.max(1, others.length)];
    if (!relay || isRelay || !this.parts.isAlive()) return;
    const { life } = relay;
    const heard = this.heardLife === life ? this.heard : NOTHING_HEARD;
    this.call(relay, (entry) => entry.exchange.newsFor(heard)).then(
      (news) => {
        this.heardLife = life;
        this.heard = news?.heard ?? NOTHING_HEARD;
        if (news) this.exchange.takeTold(news);
      },
      () => (this.relay += 1),
    );
  }

  private gateOf(endpoint: ModelEndpoint): EndpointGate {
    const known = this.gates.get(endpoint.id);
    if (known) return known;
    const made = new EndpointGate(() => this.shareOf(endpoint), this.parts.random);
    this.gates.set(endpoint.id, made);
    return made;
  }

  private shareOf(endpoint: ModelEndpoint): LimitShare | undefined {
    const { limits, sharers } = this.exchange;
    const limit = limits.of(endpoint);
    if (!limit) return undefined;
    const { limitPerS, releasedMs } = limit;
    if (releasedMs !== undefined) return releasedShare(limitPerS, sharers.sharers, releasedMs);
    return limitShare({ limitPerS, sharers: sharers.sharers, ringPlace: endpoint.position });
  }

  mayAcquire(endpoint: ModelEndpoint): boolean {
    const nowMs = this.parts.time.nowMs();
    return this.gateOf(endpoint).opening(nowMs).atMs <= nowMs;
  }

  acquire(endpoint: ModelEndpoint): Promise<boolean> {
    this.gateOf(endpoint).noteSent(this.parts.time.nowMs());
    return Promise.resolve(true);
  }

  noteAnswer(endpoint: ModelEndpoint, limitPerS: number | undefined, sentAtMs: number): void {
    if (limitPerS === undefined) this.exchange.limits.noteUnnamed(endpoint, sentAtMs);
    else this.exchange.limits.noteNamed(endpoint, limitPerS);
  }
}

/** Makes an entry of the real parts. */
export const makeEntry: MakeEntry = (parts) => new Entry(parts);
