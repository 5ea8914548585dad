/**
 * Detects requests that crash the endpoints that run them, by what they have in common. In a
 * lock-step group, one such request takes all ranks out of service for seconds.
 */
import { connect } from 'node:net';
import { IoTimeout, type Clock } from '../../core/clock/index.js';
import {
  CrashEvidence,
  kindOf,
  plainName,
  traitsOf,
  type TraitId,
} from '../../core/crashes/index.js';
import type { Log } from '../../core/logging/index.js';
import type { Metrics } from '../../core/metrics/index.js';
import { hostOf, portOf, type PublishedEndpoint } from '../../core/published/index.js';
import type { ServiceId } from '../../core/published/index.js';
import type { CrashUpdate } from '../../generated/messages.types.js';
import type { AttemptFault, GatewayRequest, HeaderCodec } from '../types.js';

/**
 * Timeout of the connection that probes for a crash, ms: a crashed endpoint refuses it within the
 * round trip of at most 3 ms. If it is accepted or times out, the endpoint is not assumed to have
 * crashed: a connection was reset, or a network link is down.
 */
const CRASH_PROBE_TIMEOUT_MS = 100;

/** Dependencies of the crash detector. */
export interface CrashDetectorDeps {
  readonly clock: Pick<Clock, 'nowMs'>;
  readonly random: () => number;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly readPromptParts: HeaderCodec['readPromptParts'];
  /** Publishes what this entry observed to other entries. */
  readonly publish: (update: CrashUpdate) => void;
}

/** A run of a request that ended without a whole response. */
export interface FailedRun {
  readonly request: GatewayRequest;
  readonly endpoint: PublishedEndpoint;
  readonly fault: AttemptFault;
  readonly sentAtMs: number;
}

/** Whether connections to an address are refused. */
function isConnectionRefused(address: string): Promise<boolean> {
  const target = { host: hostOf(address), port: portOf(address) };
  return new Promise((resolve) => {
    const socket = connect(target);
    const timeout = new IoTimeout(() => end(false));
    const end = (refused: boolean): void => {
      timeout.stop();
      socket.destroy();
      resolve(refused);
    };
    timeout.start(CRASH_PROBE_TIMEOUT_MS);
    socket.on('connect', () => end(false));
    socket.on('error', (err: NodeJS.ErrnoException) => end(err.code === 'ECONNREFUSED'));
  });
}

/** Collects evidence of requests that crash endpoints, and decides which ones to refuse. */
export class CrashDetector {
  readonly evidence: CrashEvidence;
  /** Cached, as requests are checked before each attempt and at their end. */
  private readonly traits = new WeakMap<GatewayRequest, readonly TraitId[]>();

  constructor(private readonly deps: CrashDetectorDeps) {
    this.evidence = new CrashEvidence(deps);
  }

  /**
   * Returns the trait for which a request is refused: endpoints crashed more than once as they began
   * to run requests with it, and none has succeeded since.
   * @example if (detector.refusedTrait(request, service)) return refuseCrashingRequest(active);
   */
  refusedTrait(request: GatewayRequest, service: ServiceId): TraitId | undefined {
    if (this.evidence.isEmpty) return undefined;
    return this.evidence.refusedTrait(this.traitsFor(request, service));
  }

  /** Counts a refusal for a trait. */
  recordRefusal(trait: TraitId): void {
    this.deps.metrics.count('crash_refusals_total', { kind: kindOf(trait) });
  }

  /** Records a run, sent at `sentAtMs`, that got beyond the point where such requests crash. */
  recordSuccess(request: GatewayRequest, endpoint: PublishedEndpoint, sentAtMs: number): void {
    if (this.evidence.isEmpty) return;
    const { version } = this.evidence;
    const cleared = this.evidence.noteSuccess(this.traitsFor(request, endpoint.service), sentAtMs);
    if (cleared.length === 0) return;
    this.deps.log.info('crash.cleared', { request: request.id, traits: cleared.join() });
    this.deps.publish(this.evidence.ownSince(version));
  }

  /** Suspects the traits of a request whose run ended because the endpoint crashed. */
  async recordFault({ request, endpoint, fault, sentAtMs }: FailedRun): Promise<void> {
    if (fault.kind !== 'broke' && fault.kind !== 'silent') return;
    if (request.gone.aborted) return;
    const hasCrashed = await isConnectionRefused(endpoint.address);
    this.deps.log.info('crash.checked', {
      request: request.id,
      endpoint: endpoint.id,
      kind: fault.kind,
      crashed: hasCrashed,
    });
    if (!hasCrashed) return;
    const traits = this.traitsFor(request, endpoint.service);
    const { version } = this.evidence;
    this.evidence.noteCrash({
      endpoint: endpoint.id,
      request: plainName(request.id),
      sentAtMs,
      traits,
    });
    this.deps.metrics.count('crash_suspects_total', { service: endpoint.service });
    this.deps.log.warn('crash.suspect', {
      request: request.id,
      endpoint: endpoint.id,
      traits: traits.map((id) => `${id}=${this.evidence.crashCount(id)}`).join(),
      refused: this.evidence.refusedTrait(traits),
    });
    this.deps.publish(this.evidence.ownSince(version));
  }

  private traitsFor(request: GatewayRequest, service: ServiceId): readonly TraitId[] {
    const known = this.traits.get(request);
    if (known) return known;
    const { req, head, body, route, organisation } = request;
    const created = traitsOf({
      service,
      route: route.id,
      organisation: organisation?.id,
      path: req.url ?? '',
      caller: head.key ?? '',
      body,
      promptParts: this.deps.readPromptParts?.(req.headers) ?? [],
    });
    this.traits.set(request, created);
    this.evidence.noteArrival(service, created);
    return created;
  }
}
