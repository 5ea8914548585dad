/**
 * Endpoints that are cold: for some seconds after a start during traffic, or when their record says
 * so, they bear a fixed rate of requests from all entries together and fall over well above it. The
 * endpoints of a data centre may return together, and each entry sees them as idle.
 */
import type { Clock } from '../clock/index.js';
import type { EndpointId } from '../ids/index.js';
import type { ColdStart, PublishedEndpoint, ServiceId } from '../published/types.js';
import { coldShare } from './cold-share.js';
import { ASSUMED_PEERS, COLD_START_MARGIN_MS, SLOW_START, UNREACHABLE_MS } from './consts.js';
import type { RateLimiter } from './rate-limiter.js';
import { TokenBucket, type LimitShare } from './token-bucket.js';

/** Why an endpoint counts as cold. */
export type ColdReason = 'record' | 'start' | 'unreachable';

/** Dependencies of `ColdEndpoints`. */
export interface ColdEndpointsDeps {
  readonly clock: Clock;
  readonly random: () => number;
  /** Returns the cold start of a service's endpoints; undefined if they are never cold. */
  readonly coldStartOf: (service: ServiceId) => ColdStart | undefined;
  /** Returns the number of entries known to send to the same endpoints; 0 while unknown. */
  readonly countKnown: () => number;
  /** Called when an endpoint is found to be cold. */
  readonly onCold: (endpoint: PublishedEndpoint, why: ColdReason, forMs: number) => void;
}

const NEVER = Number.NEGATIVE_INFINITY;

/** What is known about one process of an endpoint; times are monotonic ms. */
interface Known {
  readonly startedAtMs: number;
  readonly address: string;
  /** The remaining time in the last record, ms, and when it ends. */
  remainingMs: number;
  recordEndsAtMs: number;
  /** When it started, or became reachable again, for all that is known here. */
  startSeenAtMs: number;
  unreachableAtMs: number;
}

/** Tracks the cold endpoints as one entry knows them. */
export class ColdEndpoints {
  private known = new Map<EndpointId, Known>();
  private hasRead = false;
  /** Time until which any endpoint may be cold or in slow start, ms. */
  private activeUntilMs = NEVER;
  /** The largest number of entries known so far: a count that is briefly low must not raise rates. */
  private entries = 0;

  constructor(private readonly deps: ColdEndpointsDeps) {}

  /**
   * Applies the published list; returns the endpoints that turned cold. The processes of the first
   * list started before this entry, unless their start time or record says that they are cold.
   * @example for (const endpoint of cold.update(state.list.values())) cancelUnsent(endpoint);
   */
  update(list: Iterable<PublishedEndpoint>): PublishedEndpoint[] {
    const nowMs = this.deps.clock.nowMs();
    const next = new Map<EndpointId, Known>();
    const turned: PublishedEndpoint[] = [];
    for (const endpoint of list) {
      const before = this.known.get(endpoint.id);
      const isSame = before && isSameProcess(before, endpoint);
      const known = isSame ? before : this.firstKnown(endpoint, nowMs);
      const wasCold = isSame && this.isColdAt(endpoint, known, nowMs);
      noteRecord(known, endpoint, nowMs);
      next.set(endpoint.id, known);
      this.extend(endpoint, known);
      if (wasCold || !this.isColdAt(endpoint, known, nowMs)) continue;
      turned.push(endpoint);
      const why = known.recordEndsAtMs > nowMs ? 'record' : 'start';
      this.deps.onCold(endpoint, why, this.endsAtMs(endpoint, known) - nowMs);
    }
    this.known = next;
    this.hasRead = true;
    return turned;
  }

  private firstKnown({ startedAtMs, address }: PublishedEndpoint, nowMs: number): Known {
    const ageMs = startedAtMs > 0 ? this.deps.clock.wallMs() - startedAtMs : -1;
    const startSeenAtMs = this.hasRead ? nowMs : ageMs >= 0 ? nowMs - ageMs : NEVER;
    return {
      startedAtMs,
      address,
      remainingMs: 0,
      recordEndsAtMs: NEVER,
      startSeenAtMs,
      unreachableAtMs: NEVER,
    };
  }

  /** Notes that no connection to an endpoint could be opened: it may be restarting. */
  noteUnreachable(endpoint: PublishedEndpoint): void {
    const known = this.knownOf(endpoint);
    if (!known || !this.deps.coldStartOf(endpoint.service)) return;
    known.unreachableAtMs = this.deps.clock.nowMs();
    this.extend(endpoint, known);
  }

  /** Notes a response of an endpoint; one that was unreachable may just have started. */
  noteReached(endpoint: PublishedEndpoint): void {
    const nowMs = this.deps.clock.nowMs();
    if (nowMs >= this.activeUntilMs) return;
    const known = this.knownOf(endpoint);
    if (!known || known.unreachableAtMs === NEVER) return;
    const isRecent = nowMs < known.unreachableAtMs + UNREACHABLE_MS;
    known.unreachableAtMs = NEVER;
    if (!isRecent) return;
    known.startSeenAtMs = nowMs;
    this.extend(endpoint, known);
    this.deps.onCold(endpoint, 'unreachable', this.endsAtMs(endpoint, known) - nowMs);
  }

  private knownOf(endpoint: PublishedEndpoint): Known | undefined {
    const known = this.known.get(endpoint.id);
    return known && isSameProcess(known, endpoint) ? known : undefined;
  }

  /** Returns whether an endpoint is cold now. */
  isCold(endpoint: PublishedEndpoint): boolean {
    const nowMs = this.deps.clock.nowMs();
    const known = nowMs < this.activeUntilMs ? this.knownOf(endpoint) : undefined;
    return known !== undefined && this.isColdAt(endpoint, known, nowMs);
  }

  private isColdAt(endpoint: PublishedEndpoint, known: Known, nowMs: number): boolean {
    return nowMs < this.endsAtMs(endpoint, known);
  }

  /** Returns the end of the longest of the times for which a process is cold. */
  private endsAtMs({ service }: PublishedEndpoint, known: Known): number {
    const coldStart = this.deps.coldStartOf(service);
    if (!coldStart) return NEVER;
    return Math.max(
      known.recordEndsAtMs,
      known.startSeenAtMs + coldStart.durationMs + COLD_START_MARGIN_MS,
      known.unreachableAtMs + UNREACHABLE_MS,
    );
  }

  private extend(endpoint: PublishedEndpoint, known: Known): void {
    const endsAtMs = this.endsAtMs(endpoint, known) + SLOW_START.durationMs;
    this.activeUntilMs = Math.max(this.activeUntilMs, endsAtMs);
  }

  /**
   * Returns the part of its usual load that an endpoint is given, up to 1: low while it is cold, then
   * rising step by step.
   * @example const score = load / cold.weightOf(endpoint);
   */
  weightOf(endpoint: PublishedEndpoint): number {
    const nowMs = this.deps.clock.nowMs();
    if (nowMs >= this.activeUntilMs) return 1;
    const known = this.knownOf(endpoint);
    if (!known) return 1;
    const warmMs = nowMs - this.endsAtMs(endpoint, known);
    if (warmMs >= SLOW_START.durationMs) return 1;
    const { minWeight, durationMs } = SLOW_START;
    return minWeight + (1 - minWeight) * (Math.max(0, warmMs) / durationMs);
  }

  /** Number of endpoints that are cold now, among those listed. */
  count(list: Iterable<PublishedEndpoint>): number {
    return [...list].filter((endpoint) => this.isCold(endpoint)).length;
  }

  /** Returns this entry's share of the rate of an endpoint; undefined if it is not cold. */
  shareOf(endpoint: PublishedEndpoint, position: number): LimitShare | undefined {
    if (!this.isCold(endpoint)) return undefined;
    const coldStart = this.deps.coldStartOf(endpoint.service);
    if (!coldStart) return undefined;
    this.entries = Math.max(this.entries, this.deps.countKnown());
    return coldShare(coldStart.perS, this.entries || ASSUMED_PEERS, position);
  }

  /**
   * Returns a limiter that adds the rate of a cold endpoint to another limiter.
   * @example new EndpointGate(cold.limiterOf(endpoint, limiter))
   */
  limiterOf(endpoint: PublishedEndpoint, inner: RateLimiter): RateLimiter {
    return new ColdLimiter(this, endpoint, inner, this.deps);
  }
}

/** The remaining time counts from when its record arrived, so it never ends early. */
function noteRecord(known: Known, { coldRemainingMs = 0 }: PublishedEndpoint, nowMs: number): void {
  // The same record may be read again.
  if (coldRemainingMs === known.remainingMs) return;
  known.remainingMs = coldRemainingMs;
  if (coldRemainingMs === 0) return;
  known.recordEndsAtMs = Math.max(known.recordEndsAtMs, nowMs + coldRemainingMs);
}

function isSameProcess(
  known: Pick<Known, 'startedAtMs' | 'address'>,
  { startedAtMs, address }: PublishedEndpoint,
): boolean {
  return known.startedAtMs === startedAtMs && known.address === address;
}

/** Limits the requests of one entry to one process of an endpoint while it is cold. */
class ColdLimiter implements RateLimiter {
  private readonly bucket: TokenBucket;
  private readonly position: number;

  constructor(
    private readonly cold: ColdEndpoints,
    private readonly endpoint: PublishedEndpoint,
    private readonly inner: RateLimiter,
    private readonly deps: Pick<ColdEndpointsDeps, 'clock' | 'random'>,
  ) {
    this.bucket = new TokenBucket(deps.random);
    this.position = deps.random();
  }

  nextTokenAtMs(nowMs: number): number {
    const share = this.share();
    const innerAtMs = this.inner.nextTokenAtMs(nowMs);
    return share ? Math.max(innerAtMs, this.bucket.nextTokenAtMs(share, nowMs)) : innerAtMs;
  }

  async acquire(): Promise<boolean> {
    // The token is consumed first: several requests may wait for the other limiter at once.
    if (!this.consume()) return false;
    return this.inner.acquire();
  }

  private consume(): boolean {
    const share = this.share();
    if (!share) return true;
    const nowMs = this.deps.clock.nowMs();
    if (this.bucket.nextTokenAtMs(share, nowMs) > nowMs) return false;
    this.bucket.consume(share, nowMs);
    return true;
  }

  private share(): LimitShare | undefined {
    const share = this.cold.shareOf(this.endpoint, this.position);
    if (!share) this.bucket.clear();
    return share;
  }
}
