/** Keep-alive connections to many origins, such as other daemons and the platform. */
import type { IncomingHttpHeaders } from 'node:http';
import type { Dispatcher, Pool } from 'undici';
import { isTimeout } from '../core/errors/index.js';
import { createBoundedClient } from './bounded-client.js';
import { callWithin } from './call-deadline.js';
import { ReplaceablePool } from './replaceable-pool.js';
import { ResponseLimitError, type CutReason, type ResponseLimits } from './response-limits.js';

/** Origins with a pool at once: more than any fleet has daemons. */
const MAX_ORIGINS = 4096;
/** Maximum size of the head, and of the trailers, of a response, bytes. */
const MAX_HEAD_BYTES = 16 * 1024;
/** Maximum number of interim responses before a response. */
const MAX_INTERIM_RESPONSES = 16;
/** Error code of undici for a head, or trailers, that are larger. */
const HEAD_OVERFLOW = 'UND_ERR_HEADERS_OVERFLOW';

/** Options of one request, with the origin that it goes to and the limits of its response. */
export type OriginRequest = Omit<Dispatcher.RequestOptions, 'opaque' | 'onInfo' | 'signal'> & {
  readonly origin: string;
  readonly limits: ResponseLimits;
  readonly signal?: AbortSignal | null;
};

/** A response that was read whole, within its limits. */
export interface CallResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly text: string;
}

/** Limits the size of heads; the time limit of the whole call replaces those of its parts. */
const BOUNDED_OPTIONS: Pool.Options = {
  factory: createBoundedClient,
  maxHeaderSize: MAX_HEAD_BYTES,
  headersTimeout: 0,
  bodyTimeout: 0,
};

function limitError(
  reason: CutReason,
  { limits, origin }: OriginRequest,
  exceeded: string,
): ResponseLimitError {
  return new ResponseLimitError(reason, limits.call, origin, exceeded);
}

/** Returns a callback for interim responses that fails the request when there are too many. */
function countInterim(request: OriginRequest): () => void {
  let count = 0;
  return () => {
    count += 1;
    if (count <= MAX_INTERIM_RESPONSES) return;
    const exceeded = `follows more than ${MAX_INTERIM_RESPONSES} interim responses`;
    throw limitError('oversized', request, exceeded);
  };
}

/** Converts undici's error of a head that is too large. */
function toLimitError(err: unknown, request: OriginRequest): unknown {
  if ((err as NodeJS.ErrnoException | null)?.code !== HEAD_OVERFLOW) return err;
  const exceeded = `has a head, or trailers, larger than ${MAX_HEAD_BYTES} bytes`;
  return limitError('oversized', request, exceeded);
}

/** Connection pools by origin; the pool of an unresponsive origin is replaced. */
export class ConnectionPools {
  private readonly pools = new Map<string, ReplaceablePool>();
  private readonly options: Pool.Options;

  /** `onCut` is called for each response that exceeded a limit. */
  constructor(
    options: Pool.Options,
    private readonly onCut: (err: ResponseLimitError) => void = () => undefined,
  ) {
    this.options = { ...options, ...BOUNDED_OPTIONS };
  }

  /**
   * Sends a request and reads its response whole. Rejects, and closes the connection, if the response
   * exceeds a limit or the caller's signal aborts. Which errors mean that the origin was unresponsive
   * depends on the caller's signal.
   * @example const { status, text } = await pools.call({ origin, path, method: 'GET', limits });
   */
  async call(
    request: OriginRequest,
    isUnresponsive: (err: unknown) => boolean = isTimeout,
  ): Promise<CallResponse> {
    const originPool = this.poolFor(request.origin);
    const pool = originPool.current;
    try {
      return await this.readWithin(request, pool);
    } catch (err) {
      const fault = toLimitError(err, request);
      if (fault instanceof ResponseLimitError) this.onCut(fault);
      if (isUnresponsive(fault)) originPool.replace(pool);
      throw fault;
    }
  }

  private readWithin(request: OriginRequest, pool: Pool): Promise<CallResponse> {
    const { limits, signal: callerSignal = null, ...options } = request;
    const createError = (): Error =>
      limitError('too-slow', request, `is not complete after ${limits.maxMs} ms`);
    return callWithin(limits.maxMs, createError, callerSignal, async (signal) => {
      const { statusCode, headers, body } = await pool.request({
        ...options,
        signal,
        opaque: limits,
        onInfo: countInterim(request),
      });
      return { status: statusCode, headers, text: await body.text() };
    });
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
