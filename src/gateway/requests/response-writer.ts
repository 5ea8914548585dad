/**
 * Writes one response to its caller. What the caller has not read yet is buffered within the memory
 * budget, so that a slow caller holds up neither the endpoint nor the slot of its request.
 */
import type { ServerResponse } from 'node:http';
import {
  KEEPS_UP_MS,
  type EndedResponse,
  type MemoryBudget,
  type ResponseAccount,
} from '../../core/buffering/index.js';
import { cutResponse, type CuttableResponse } from './cut-response.js';
import { UnreadQueue } from './unread-queue.js';

/** The parts of a response that the writer uses. */
export type ResponseSink = Pick<ServerResponse, 'writeHead' | 'write' | 'end' | 'destroyed'> &
  CuttableResponse & {
    readonly prependOnceListener: (event: 'finish', listener: () => void) => unknown;
    readonly once: (event: 'finish' | 'close', listener: () => void) => unknown;
  };

/** Dependencies of `ResponseWriter`. */
export interface ResponseWriterDeps {
  readonly res: ResponseSink;
  readonly budget: MemoryBudget;
  readonly nowMs: () => number;
}

/** The response of one request, over all its attempts. */
export class ResponseWriter {
  /** How the response was ended before its caller had read it; undefined if it was not. */
  ended: EndedResponse | undefined;
  private readonly account: ResponseAccount;
  private readonly queue = new UnreadQueue();
  /** Bytes handed to the connection and not sent yet. */
  private unsentBytes = 0;
  private isEnding = false;
  private isFinished = false;

  constructor(private readonly deps: ResponseWriterDeps) {
    this.account = deps.budget.open((ended) => {
      this.ended = ended;
      this.queue.clear();
      // Before its start a refusal may replace it.
      if (deps.res.headersSent) cutResponse(deps.res);
    });
    // Node also emits 'finish' when a connection that has not sent everything is destroyed.
    deps.res.prependOnceListener('finish', () => (this.isFinished = !deps.res.socket?.destroyed));
  }

  /** Bytes buffered for this response. */
  get heldBytes(): number {
    return this.account.heldBytes;
  }

  /** Writes status and headers. */
  writeHead(status: number, headers: Record<string, string | string[]>): void {
    this.deps.res.writeHead(status, headers);
  }

  /** Writes a part of a stream at once, or as soon as the caller has read what is before it. */
  write(bytes: Buffer): void {
    const { res, budget } = this.deps;
    if (res.destroyed) return;
    const nowMs = this.deps.nowMs();
    this.account.unreadSinceMs ??= nowMs;
    if (!budget.hold(this.account, bytes.length)) return;
    if (this.unsentBytes > 0) this.queue.push(bytes, nowMs);
    else this.send(bytes);
  }

  /** Ends a stream after its last byte. */
  end(): void {
    this.isEnding = true;
    if (this.queue.isEmpty) this.deps.res.end();
  }

  /** Counts bytes that cannot be written yet; false if they exceed the budget. */
  hold(bytes: number): boolean {
    return this.deps.budget.hold(this.account, bytes);
  }

  /** Frees bytes counted by `hold`. */
  release(bytes: number): void {
    this.deps.budget.release(this.account, bytes);
  }

  /** Discards the bytes counted by `hold`. */
  discard(): void {
    this.deps.budget.release(this.account, this.account.heldBytes);
  }

  /** Writes a whole response, whose bytes were counted by `hold`. */
  writeWhole(status: number, headers: Record<string, string | string[]>, body: Buffer): void {
    const { res, nowMs } = this.deps;
    if (res.destroyed) return;
    this.account.unreadSinceMs = nowMs();
    res.writeHead(status, { ...headers, 'content-length': body.length });
    res.end(body);
  }

  /**
   * Waits until the connection has taken the whole response; false if it was closed before.
   * @example const hasAll = await writer.whenDone();
   */
  async whenDone(): Promise<boolean> {
    const { res } = this.deps;
    if (!this.isFinished && !res.destroyed)
      await new Promise<void>((resolve) => {
        res.once('finish', resolve);
        res.once('close', resolve);
      });
    return this.isFinished;
  }

  /** Describes the response if its caller does not keep up, for when it is ended at its deadline. */
  describeUnread(): EndedResponse | undefined {
    const { budget } = this.deps;
    const described = budget.describe(this.account, 'deadline');
    return (described.oldestMs ?? 0) > KEEPS_UP_MS ? described : undefined;
  }

  /** Frees the buffered bytes; to be called when the request has ended. */
  close(): void {
    this.queue.clear();
    this.deps.budget.close(this.account);
  }

  private send(bytes: Buffer): void {
    this.unsentBytes = bytes.length;
    this.deps.res.write(bytes, this.onSent);
  }

  private readonly onSent = (): void => {
    const { res, budget } = this.deps;
    budget.release(this.account, this.unsentBytes);
    this.unsentBytes = 0;
    if (res.destroyed) return;
    const next = this.queue.shift();
    this.account.unreadSinceMs = next?.arrivedAtMs;
    if (!next) return;
    this.send(next.bytes);
    if (this.isEnding && this.queue.isEmpty) res.end();
  };
}
