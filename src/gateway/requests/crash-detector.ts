/**
 * Detects requests that crash the endpoints that run them. In a lock-step group, one such request
 * takes all ranks out of service for seconds, and each retry by its caller the next group.
 */
import { connect } from 'node:net';
import type { Clock } from '../../core/clock/index.js';
import { CrashEvidence, fingerprintOf, type Fingerprint } from '../../core/crashes/index.js';
import type { Log } from '../../core/logging/index.js';
import type { Metrics } from '../../core/metrics/index.js';
import { hostOf, portOf, type PublishedEndpoint } from '../../core/published/index.js';
import type { CrashUpdate } from '../../generated/messages.types.js';
import type { AttemptFault, GatewayRequest, HeaderCodec } from '../types.js';

/**
 * Timeout of the connection that probes for a crash, ms: a crashed endpoint refuses it within the
 * round trip of at most 3 ms. If it is accepted or times out, the endpoint is not assumed to have
 * crashed: a connection was reset, or a network link is down.
 */
const CRASH_PROBE_TIMEOUT_MS = 100;

/** Parts of a prompt in a log line. */
const MAX_PARTS_LOGGED = 16;

/** Dependencies of the crash detector. */
export interface CrashDetectorDeps {
  readonly clock: Pick<Clock, 'nowMs'>;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly readPromptParts: HeaderCodec['readPromptParts'];
  /** Publishes crash updates to other entries. */
  readonly publish: (update: CrashUpdate) => void;
}

/** Whether connections to an address are refused. */
function isConnectionRefused(address: string): Promise<boolean> {
  const target = { host: hostOf(address), port: portOf(address) };
  return new Promise((resolve) => {
    const socket = connect({ ...target, timeout: CRASH_PROBE_TIMEOUT_MS });
    const end = (refused: boolean): void => {
      socket.destroy();
      resolve(refused);
    };
    socket.on('connect', () => end(false));
    socket.on('timeout', () => end(false));
    socket.on('error', (err: NodeJS.ErrnoException) => end(err.code === 'ECONNREFUSED'));
  });
}

/** Collects evidence of requests that crash endpoints, and decides which ones to refuse. */
export class CrashDetector {
  readonly evidence: CrashEvidence;
  /** Cached, as requests are checked before each attempt and at their end; bodies do not change. */
  private readonly fingerprints = new WeakMap<GatewayRequest, Fingerprint>();

  constructor(private readonly deps: CrashDetectorDeps) {
    this.evidence = new CrashEvidence(deps.clock);
  }

  /**
   * Whether a request has crashed endpoints more than once and has never completed successfully.
   * @example if (detector.isRefused(request)) return refuseWith('crashes-endpoints', detail);
   */
  isRefused(request: GatewayRequest): boolean {
    if (this.evidence.isEmpty) return false;
    return this.evidence.isRefused(this.fingerprintFor(request));
  }

  /** Records a request that completed successfully. */
  recordSuccess(request: GatewayRequest): void {
    if (this.evidence.isEmpty) return;
    const fingerprint = this.fingerprintFor(request);
    if (this.evidence.noteSuccess(fingerprint))
      this.logAndPublish('crash.cleared', request, fingerprint);
  }

  /** Records an attempt without a response; suspects the request if the endpoint crashed. */
  async recordFault(
    request: GatewayRequest,
    endpoint: PublishedEndpoint,
    fault: AttemptFault,
  ): Promise<void> {
    if (fault.kind !== 'broke' && fault.kind !== 'silent') return;
    if (request.gone.aborted) return;
    const hasCrashed = await isConnectionRefused(endpoint.address);
    this.logCheck(request, endpoint, fault, hasCrashed);
    if (!hasCrashed) return;
    const fingerprint = this.fingerprintFor(request);
    if (!this.evidence.noteCrash(fingerprint, endpoint.id)) return;
    this.deps.metrics.count('crash_suspects_total', { service: endpoint.service });
    this.logAndPublish('crash.suspect', request, fingerprint, endpoint);
  }

  /** Logs whether the endpoint of a broken attempt crashed, and what such requests may have in common. */
  logCheck(
    request: GatewayRequest,
    endpoint: PublishedEndpoint,
    fault: AttemptFault,
    hasCrashed: boolean | undefined,
  ): void {
    this.deps.log.info('crash.checked', {
      request: request.id,
      endpoint: endpoint.id,
      kind: fault.kind,
      crashed: hasCrashed,
      parts: (this.deps.readPromptParts?.(request.req.headers) ?? [])
        .slice(0, MAX_PARTS_LOGGED)
        .join(),
    });
  }

  private fingerprintFor(request: GatewayRequest): Fingerprint {
    const known = this.fingerprints.get(request);
    if (known) return known;
    const { req, head, body } = request;
    const created = fingerprintOf({ path: req.url ?? '', caller: head.key ?? '', body });
    this.fingerprints.set(request, created);
    return created;
  }

  private logAndPublish(
    event: 'crash.suspect' | 'crash.cleared',
    request: GatewayRequest,
    fingerprint: Fingerprint,
    endpoint?: PublishedEndpoint,
  ): void {
    const { log, publish } = this.deps;
    const isRefusedNow = this.evidence.isRefused(fingerprint);
    log.warn(event, {
      request: request.id,
      fingerprint,
      endpoint: endpoint?.id,
      refused: isRefusedNow,
    });
    publish(this.evidence.deltaSince(this.evidence.version - 1));
  }
}
