/** Keep-alive connections to many origins, such as other daemons and the platform. */
import type { Dispatcher, Pool } from 'undici';
import { isTimeout } from '../core/errors/index.js';
import { ReplaceablePool } from './replaceable-pool.js';

/** Origins with a pool at once: more than any fleet has daemons. */
const MAX_ORIGINS = 4096;

/** Options of one request, with the origin that it goes to. */
export type OriginRequest = Dispatcher.RequestOptions & { readonly origin: string };

/** Connection pools by origin; the pool of an unresponsive origin is replaced. */
export class ConnectionPools {
  private readonly pools = new Map<string, ReplaceablePool>();

  constructor(private readonly options: Pool.Options) {}

  /**
   * Sends a request and reads its response; rejects if that does not complete in time. Which errors
   * mean that the origin was unresponsive depends on the caller's signal.
   * @example const text = await pools.call({ origin, path, method: 'GET', signal }, (r) => r.body.text());
   */
  async call<T>(
    call: OriginRequest,
    read: (res: Dispatcher.ResponseData) => Promise<T>,
    isUnresponsive: (err: unknown) => boolean = isTimeout,
  ): Promise<T> {
    const originPool = this.poolFor(call.origin);
    const pool = originPool.current;
    try {
      return await read(await pool.request(call));
    } catch (err) {
      if (isUnresponsive(err)) originPool.replace(pool);
      throw err;
    }
  }

  /** Closes all connections and aborts the calls in flight. */
  destroy(): void {
    for (const pool of this.pools.values()) pool.destroy();
    this.pools.clear();
  }

  private poolFor(origin: string): ReplaceablePool {
    const existing = this.pools.get(origin);
    if (existing) return existing;
    this.dropOldest();
    const created = new ReplaceablePool(origin, this.options);
    this.pools.set(origin, created);
    return created;
  }

  /** Evicts the oldest pool: the addresses of replaced instances are never used again. */
  private dropOldest(): void {
    if (this.pools.size < MAX_ORIGINS) return;
    const [oldest] = this.pools.keys();
    if (oldest === undefined) return;
    this.pools.get(oldest)?.close();
    this.pools.delete(oldest);
  }
}
