/** What an agent has to send and answer with in a play: a link of some bytes a ms, and a processor for one call at a time. */
import { inflateRawSync } from 'node:zlib';
import type { VirtualTime } from '../../fakes/rank-engine/index.js';

/** What it is bound by; nothing where left out. */
export interface PortOptions {
  readonly linkBytesPerMs?: number;
  readonly callMs?: number;
  /** Bytes of a whole map. */
  readonly mapBytes?: number;
}

/** Bytes of an HTTP request or answer besides its body. */
const HEAD_BYTES = 250;

/** Part of a text of base64 that deflating leaves of it. */
const DEFLATED_SHARE = 0.75;

/** Bytes of the whole maps in a message, if it carries one. */
function mapShare(message: unknown): number {
  const { map, order } = message as { readonly map?: unknown; readonly order?: unknown };
  if (map !== undefined) return 1;
  if (typeof order !== 'string') return 0;
  const text = inflateRawSync(Buffer.from(order, 'base64')).toString('utf8');
  return text.includes('"map":') ? DEFLATED_SHARE : 0;
}

/** Does one thing after the other. */
class Line {
  private freeAtMs = 0;

  constructor(private readonly time: VirtualTime) {}

  pass(ms: number): Promise<void> {
    this.freeAtMs = Math.max(this.freeAtMs, this.time.nowMs()) + ms;
    return this.time.sleep(this.freeAtMs - this.time.nowMs());
  }
}

/** One agent's link, each way, and its processor. */
export class Port {
  private readonly processor: Line;
  private readonly out: Line;
  private readonly in: Line;

  constructor(
    time: VirtualTime,
    private readonly options: PortOptions,
  ) {
    this.processor = new Line(time);
    this.out = new Line(time);
    this.in = new Line(time);
  }

  /** Sends a message. */
  async send(message: unknown): Promise<void> {
    await this.processor.pass(this.options.callMs ?? 0);
    await this.out.pass(this.msOf(message));
  }

  /** Answers a message of another agent. */
  async answer(message: unknown, to: Port): Promise<void> {
    await this.out.pass(this.msOf(message));
    await to.in.pass(this.msOf(message));
  }

  private msOf(message: unknown): number {
    const { linkBytesPerMs, mapBytes = 0 } = this.options;
    if (linkBytesPerMs === undefined) return 0;
    const bytes = HEAD_BYTES + JSON.stringify(message).length + mapBytes * mapShare(message);
    return bytes / linkBytesPerMs;
  }
}
