/** Keep-alive connections to one origin, all replaced once a call on one of them times out. */
import { Pool } from 'undici';

/**
 * A connection pool that is replaced as a whole when one of its connections is unresponsive.
 *
 * All connections open at one moment may stop responding without a reset while new ones work, and
 * each shows it only by a timeout of its own. Reusing the others cost one 3.2 s watch after another,
 * so that 16 of 48 daemons acted on stale state for up to 3.2 s past the bound; a request that may
 * run only once is lost on each. A timeout therefore retires every connection open at that time.
 */
export class ReplaceablePool {
  private pool: Pool;

  constructor(
    private readonly origin: string,
    private readonly options: Pool.Options,
  ) {
    this.pool = new Pool(origin, options);
  }

  /** The pool for the next call; a caller whose call times out passes it to `replace`. */
  get current(): Pool {
    return this.pool;
  }

  /**
   * Replaces a pool on which a call timed out; returns false if it was replaced before. Calls in
   * flight on the old pool may complete; its idle connections are closed.
   * @example const pool = pools.current; await pool.request(call).catch(() => pools.replace(pool));
   */
  replace(pool: Pool): boolean {
    if (pool !== this.pool) return false;
    this.pool = new Pool(this.origin, this.options);
    void pool.close();
    return true;
  }

  /** Closes idle connections at once and the others when their calls complete. */
  close(): void {
    void this.pool.close();
  }

  /** Closes all connections and aborts the calls in flight on them. */
  destroy(): void {
    void this.pool.destroy();
  }
}
