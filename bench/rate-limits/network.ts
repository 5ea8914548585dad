/** Simulated calls between entries: delays, losses, timeouts, and instances that cannot be reached. */
import type { VirtualTime } from './virtual-time.js';

/** State of one instance in the network. */
export interface Node {
  readonly index: number;
  /** Increases with each restart; a call to or from an earlier incarnation is lost. */
  incarnation: number;
  /** Times until which the instance is down, suspended and unreachable, ms. */
  downUntilMs: number;
  suspendedUntilMs: number;
  unreachableUntilMs: number;
}

/** Dependencies of a network. */
export interface NetworkDeps {
  readonly time: VirtualTime;
  readonly random: () => number;
  /** Ratio of messages that are lost; a call is a request and a reply. */
  readonly lossRatio: number;
  /** Whether two nodes are now on different sides of a partition. */
  readonly isPartitioned: (from: Node, to: Node) => boolean;
}

/** Minimum delay of a message and the jitter added to it. */
const DELAY_MS = { min: 2, jitter: 20 } as const;

/** Delivers calls between nodes in virtual time. */
export class Network {
  /** Number of calls to each node, by index. */
  readonly calls = new Map<number, number>();

  constructor(private readonly deps: NetworkDeps) {}

  /** Whether a node is neither down nor suspended. */
  isRunning({ downUntilMs, suspendedUntilMs }: Node): boolean {
    const nowMs = this.deps.time.nowMs();
    return nowMs >= downUntilMs && nowMs >= suspendedUntilMs;
  }

  /**
   * Calls a node; rejects when no reply arrives within the timeout.
   * @example await network.call(entry, relay, () => relay.tokens.take(request), 100);
   */
  call<T>(from: Node, to: Node, handle: () => T | Promise<T>, timeoutMs: number): Promise<T> {
    const { time } = this.deps;
    this.calls.set(to.index, (this.calls.get(to.index) ?? 0) + 1);
    const incarnations = [from.incarnation, to.incarnation];
    const isSameIncarnation = (): boolean =>
      from.incarnation === incarnations[0] && to.incarnation === incarnations[1];
    return new Promise((resolve, reject) => {
      time.after(timeoutMs, () => reject(new Error(`no reply within ${timeoutMs} ms`)));
      if (this.isLost(from, to)) return;
      this.deliver(to, isSameIncarnation, () => {
        void Promise.resolve(handle()).then((result) => {
          if (!this.isLost(to, from)) this.deliver(from, isSameIncarnation, () => resolve(result));
        });
      });
    });
  }

  private isLost(from: Node, to: Node): boolean {
    const { time, random, lossRatio, isPartitioned } = this.deps;
    const nowMs = time.nowMs();
    const isUnreachable = nowMs < from.unreachableUntilMs || nowMs < to.unreachableUntilMs;
    return (
      isUnreachable || isPartitioned(from, to) || nowMs < to.downUntilMs || random() < lossRatio
    );
  }

  /** Runs a function at a node; on a suspended node, once it resumes. */
  private deliver(to: Node, isSameIncarnation: () => boolean, run: () => void): void {
    const { time, random } = this.deps;
    const resumesInMs = Math.max(0, to.suspendedUntilMs - time.nowMs());
    const delayMs = DELAY_MS.min + DELAY_MS.jitter * random() + resumesInMs;
    time.after(delayMs, () => {
      if (!isSameIncarnation()) return;
      if (this.isRunning(to)) run();
      else if (time.nowMs() < to.suspendedUntilMs) this.deliver(to, isSameIncarnation, run);
    });
  }
}
