/** Calls between the entries of a model: delays, lost calls, time-outs, and instances that are out of reach. */
import type { VirtualTime } from './virtual-time.js';

/** One instance as the network sees it. */
export interface Node {
  readonly index: number;
  /** Rises with each restart; a call to or from an earlier life is lost. */
  life: number;
  /** Times until which it is down, frozen and cut off, ms. */
  downUntilMs: number;
  frozenUntilMs: number;
  cutUntilMs: number;
}

/** What the network needs. */
export interface NetworkParts {
  readonly time: VirtualTime;
  readonly random: () => number;
  /** Share of the calls that are lost. */
  readonly lossShare: number;
  /** Whether two nodes are on different sides of a partition now. */
  readonly isParted: (from: Node, to: Node) => boolean;
}

const DELAY_MS = { least: 2, more: 20 } as const;

/** A network in virtual time. */
export class Network {
  /** Calls to each node, by index. */
  readonly calls = new Map<number, number>();

  constructor(private readonly parts: NetworkParts) {}

  /** Whether a node runs. */
  isUp({ downUntilMs, frozenUntilMs }: Node): boolean {
    const nowMs = this.parts.time.nowMs();
    return nowMs >= downUntilMs && nowMs >= frozenUntilMs;
  }

  /**
   * Calls a node; rejects when no answer arrives in time.
   * @example await network.call(entry, relay, () => relay.tokens.take(request), 100);
   */
  call<T>(from: Node, to: Node, handle: () => T | Promise<T>, withinMs: number): Promise<T> {
    const { time } = this.parts;
    this.calls.set(to.index, (this.calls.get(to.index) ?? 0) + 1);
    const lives = [from.life, to.life];
    const isSame = (): boolean => from.life === lives[0] && to.life === lives[1];
    return new Promise((resolve, reject) => {
      time.after(withinMs, () => reject(new Error(`no answer within ${withinMs} ms`)));
      if (this.isLost(from, to)) return;
      this.deliver(to, isSame, () => {
        void Promise.resolve(handle()).then((answer) => {
          if (!this.isLost(to, from)) this.deliver(from, isSame, () => resolve(answer));
        });
      });
    });
  }

  private isLost(from: Node, to: Node): boolean {
    const { time, random, lossShare, isParted } = this.parts;
    const nowMs = time.nowMs();
    const isCut = nowMs < from.cutUntilMs || nowMs < to.cutUntilMs;
    return isCut || isParted(from, to) || nowMs < to.downUntilMs || random() < lossShare;
  }

  /** Runs a function at a node; a frozen one does it when it wakes. */
  private deliver(to: Node, isSame: () => boolean, run: () => void): void {
    const { time, random } = this.parts;
    const wakesInMs = Math.max(0, to.frozenUntilMs - time.nowMs());
    const delayMs = DELAY_MS.least + DELAY_MS.more * random() + wakesInMs;
    time.after(delayMs, () => {
      if (!isSame()) return;
      if (this.isUp(to)) run();
      else if (time.nowMs() < to.frozenUntilMs) this.deliver(to, isSame, run);
    });
  }
}
