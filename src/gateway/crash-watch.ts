/**
 * Tells requests that crash the endpoints that run them. In a group in lock-step one such request takes all ranks out of service
 * for seconds, and each caller who sends it again the next group.
 */
import { connect } from 'node:net';
import type { Clock } from '../core/clock/index.js';
import { CrashEvidence, fingerprintOf, type Fingerprint } from '../core/crashes/index.js';
import type { Log } from '../core/logging/index.js';
import type { Metrics } from '../core/metrics/index.js';
import { hostOf, portOf, type PublishedEndpoint } from '../core/published/index.js';
import type { CrashNews } from '../generated/messages.types.js';
import type { AttemptFault, GatewayRequest } from './types.js';

/**
 * Time in which an endpoint that fell refuses a connection, ms: the way is 3 ms there and back at most. One that takes it, or from
 * which nothing comes back, has not fallen as far as this can tell: its connection was reset, or a link is cut.
 */
const REFUSED_WITHIN_MS = 100;

/** What watching needs. */
export interface CrashWatchParts {
  readonly clock: Pick<Clock, 'nowMs'>;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Passes what was seen here on to other entries. */
  readonly tell: (news: CrashNews) => void;
}

/** Whether nothing listens at an address any more. */
function isRefused(address: string): Promise<boolean> {
  const to = { host: hostOf(address), port: portOf(address) };
  return new Promise((resolve) => {
    const socket = connect({ ...to, timeout: REFUSED_WITHIN_MS });
    const end = (refused: boolean): void => {
      socket.destroy();
      resolve(refused);
    };
    socket.on('connect', () => end(false));
    socket.on('timeout', () => end(false));
    socket.on('error', (err: NodeJS.ErrnoException) => end(err.code === 'ECONNREFUSED'));
  });
}

/** Puts together which requests crash endpoints, and says which are sent to none any more. */
export class CrashWatch {
  readonly evidence: CrashEvidence;
  /** Each request is looked at before every attempt and at its end, and its body does not change. */
  private readonly prints = new WeakMap<GatewayRequest, Fingerprint>();

  constructor(private readonly parts: CrashWatchParts) {
    this.evidence = new CrashEvidence(parts.clock);
  }

  /**
   * Whether a request has crashed endpoints more than once and has not run to a good end.
   * @example if (watch.isRefused(request)) return refused('crashes-endpoints', detail);
   */
  isRefused(request: GatewayRequest): boolean {
    if (this.evidence.isEmpty) return false;
    return this.evidence.isRefused(this.printOf(request));
  }

  /** Notes a request that ran to a good end. */
  noteGoodEnd(request: GatewayRequest): void {
    if (this.evidence.isEmpty) return;
    const fingerprint = this.printOf(request);
    if (this.evidence.noteGoodEnd(fingerprint)) this.told('crash.cleared', request, fingerprint);
  }

  /** Notes an attempt that ended before any sign of an answer: the request is held against, if the endpoint fell. */
  async noteFault(
    request: GatewayRequest,
    endpoint: PublishedEndpoint,
    fault: AttemptFault,
  ): Promise<void> {
    if (fault.kind !== 'broke' && fault.kind !== 'silent') return;
    if (request.gone.aborted || !(await isRefused(endpoint.address))) return;
    const fingerprint = this.printOf(request);
    if (!this.evidence.noteCrash(fingerprint, endpoint.id)) return;
    this.parts.metrics.count('crash_suspects_total', { service: endpoint.service });
    this.told('crash.suspect', request, fingerprint, endpoint);
  }

  private printOf(request: GatewayRequest): Fingerprint {
    const known = this.prints.get(request);
    if (known) return known;
    const { req, head, body } = request;
    const made = fingerprintOf({ path: req.url ?? '', caller: head.key ?? '', body });
    this.prints.set(request, made);
    return made;
  }

  private told(
    event: 'crash.suspect' | 'crash.cleared',
    request: GatewayRequest,
    fingerprint: Fingerprint,
    endpoint?: PublishedEndpoint,
  ): void {
    const { log, tell } = this.parts;
    const isRefusedNow = this.evidence.isRefused(fingerprint);
    log.warn(event, {
      request: request.id,
      fingerprint,
      endpoint: endpoint?.id,
      refused: isRefusedNow,
    });
    tell(this.evidence.newsSince(this.evidence.version - 1));
  }
}
