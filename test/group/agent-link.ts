/**
 * Simulates an agent's network link, with limited bandwidth in each direction, and its CPU, which
 * sends one call at a time.
 */
import { inflateRawSync } from 'node:zlib';
import type { VirtualTime } from '../../fakes/rank-engine/index.js';

/** Limits of an agent; unlimited where omitted. */
export interface AgentLinkOptions {
  readonly linkBytesPerMs?: number;
  readonly callMs?: number;
  /** Bytes of a complete map. */
  readonly mapBytes?: number;
}

/** Bytes of an HTTP request or response besides its body. */
const HTTP_OVERHEAD_BYTES = 250;

/** Size of base64 text after deflating, relative to its original size. */
const DEFLATED_BASE64_RATIO = 0.75;

/** Size of the complete map in a message, relative to `mapBytes`; 0 if it carries none. */
function encodedMapRatio(message: unknown): number {
  const { map, order } = message as { readonly map?: unknown; readonly order?: unknown };
  if (map !== undefined) return 1;
  if (typeof order !== 'string') return 0;
  const text = inflateRawSync(Buffer.from(order, 'base64')).toString('utf8');
  return text.includes('"map":') ? DEFLATED_BASE64_RATIO : 0;
}

/** A resource used by one operation at a time, in order. */
class SerialResource {
  private availableAtMs = 0;

  constructor(private readonly time: VirtualTime) {}

  occupy(ms: number): Promise<void> {
    this.availableAtMs = Math.max(this.availableAtMs, this.time.nowMs()) + ms;
    return this.time.sleep(this.availableAtMs - this.time.nowMs());
  }
}

/** An agent's link in both directions, and its CPU. */
export class AgentLink {
  private readonly processor: SerialResource;
  private readonly out: SerialResource;
  private readonly in: SerialResource;

  constructor(
    time: VirtualTime,
    private readonly options: AgentLinkOptions,
  ) {
    this.processor = new SerialResource(time);
    this.out = new SerialResource(time);
    this.in = new SerialResource(time);
  }

  /** Sends a message. */
  async send(message: unknown): Promise<void> {
    await this.processor.occupy(this.options.callMs ?? 0);
    await this.out.occupy(this.transferMs(message));
  }

  /** Replies to a message of another agent. */
  async answer(message: unknown, to: AgentLink): Promise<void> {
    await this.out.occupy(this.transferMs(message));
    await to.in.occupy(this.transferMs(message));
  }

  private transferMs(message: unknown): number {
    const { linkBytesPerMs, mapBytes = 0 } = this.options;
    if (linkBytesPerMs === undefined) return 0;
    const bytes =
      HTTP_OVERHEAD_BYTES + JSON.stringify(message).length + mapBytes * encodedMapRatio(message);
    return bytes / linkBytesPerMs;
  }
}
