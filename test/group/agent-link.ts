/** What an agent has to send and answer with in a play: a link of some bytes a ms, and a processor for one call at a time. */
import { inflateRawSync } from 'node:zlib';
import type { VirtualTime } from '../../fakes/rank-engine/index.js';

/** What it is bound by; nothing where left out. */
export interface AgentLinkOptions {
  readonly linkBytesPerMs?: number;
  readonly callMs?: number;
  /** Bytes of a whole map. */
  readonly mapBytes?: number;
}

/** Bytes of an HTTP request or answer besides its body. */
const HTTP_OVERHEAD_BYTES = 250;

/** Part of a text of base64 that deflating leaves of it. */
const DEFLATED_BASE64_RATIO = 0.75;

/** Bytes of the whole maps in a message, if it carries one. */
function encodedMapRatio(message: unknown): number {
  const { map, order } = message as { readonly map?: unknown; readonly order?: unknown };
  if (map !== undefined) return 1;
  if (typeof order !== 'string') return 0;
  const text = inflateRawSync(Buffer.from(order, 'base64')).toString('utf8');
  return text.includes('"map":') ? DEFLATED_BASE64_RATIO : 0;
}

/** Does one thing after the other. */
class SerialResource {
  private availableAtMs = 0;

  constructor(private readonly time: VirtualTime) {}

  occupy(ms: number): Promise<void> {
    this.availableAtMs = Math.max(this.availableAtMs, this.time.nowMs()) + ms;
    return this.time.sleep(this.availableAtMs - this.time.nowMs());
  }
}

/** One agent's link, each way, and its processor. */
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

  /** Answers a message of another agent. */
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
