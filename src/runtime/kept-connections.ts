/** Kept connections to many origins, as daemons have to each other and to the platform. */
import type { Dispatcher, Pool } from 'undici';
import { isTimeout } from '../core/errors/index.js';
import { FreshPool } from './fresh-pool.js';

/** Origins for which connections are kept at once: more than any fleet has daemons. */
const MOST_ORIGINS = 4096;

/** One call; `origin` and `path` tell where it goes. */
export type Call = Dispatcher.RequestOptions & { readonly origin: string };

/** Connections by origin; those of an origin that got silent are not used any more. */
export class KeptConnections {
  private readonly pools = new Map<string, FreshPool>();

  constructor(private readonly options: Pool.Options) {}

  /**
   * Makes a call and reads its answer; rejects where it is not read to its end in time. Which errors show that no answer came
   * depends on who made the signal.
   * @example const text = await connections.call({ origin, path, method: 'GET', signal }, (res) => res.body.text());
   */
  async call<T>(
    call: Call,
    read: (res: Dispatcher.ResponseData) => Promise<T>,
    isSilence: (err: unknown) => boolean = isTimeout,
  ): Promise<T> {
    const kept = this.at(call.origin);
    const pool = kept.current;
    try {
      return await read(await pool.request(call));
    } catch (err) {
      if (isSilence(err)) kept.giveUp(pool);
      throw err;
    }
  }

  /** Ends all connections. */
  destroy(): void {
    for (const pool of this.pools.values()) pool.destroy();
    this.pools.clear();
  }

  private at(origin: string): FreshPool {
    const known = this.pools.get(origin);
    if (known) return known;
    this.dropOldest();
    const made = new FreshPool(origin, this.options);
    this.pools.set(origin, made);
    return made;
  }

  /** Addresses of replaced instances are never asked for again. */
  private dropOldest(): void {
    if (this.pools.size < MOST_ORIGINS) return;
    const [oldest] = this.pools.keys();
    if (oldest === undefined) return;
    this.pools.get(oldest)?.close();
    this.pools.delete(oldest);
  }
}
