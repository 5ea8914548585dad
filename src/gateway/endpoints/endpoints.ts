/** Endpoints as seen by this entry: connections, in-flight requests, health and endpoint selection. */
import {
  EndpointGate,
  type ColdEndpoints,
  type Opening,
  type RateLimiter,
} from '../../core/backpressure/index.js';
import type { Clock } from '../../core/clock/index.js';
import { errorText } from '../../core/errors/index.js';
import type { EndpointId } from '../../core/ids/index.js';
import type { Log } from '../../core/logging/index.js';
import type { Metrics } from '../../core/metrics/index.js';
import type {
  DataCentreId,
  PublishedEndpoint,
  PublishedState,
  ServiceId,
} from '../../core/published/index.js';
import { StreamCountHistory } from '../../core/limits/index.js';
import { EndpointHealth, chooseRank } from '../../core/routing/index.js';
import { ReplaceablePool } from '../../runtime/replaceable-pool.js';
import { createEndpointConnector } from './connect.js';
import { endpointClientFactory } from './exchange.js';
import { failurePenalty, type EndpointState } from './endpoint-state.js';
import {
  UNKNOWN_PASS,
  isSlowEngine,
  placementReason,
  rankOption,
  type RankOption,
} from './rank-option.js';
import type { EngineStatus } from '../groups/group-status.js';
import type { EndpointMisbehaviour } from '../types.js';
import {
  ASSUMED_CONNECTION_PEERS,
  IDLE_CONNECTION_TIMEOUT_MS,
  LEAVING_SEND_MS,
  MAX_CONNECTIONS,
} from '../consts.js';

/** Weight of the newest outcome in an endpoint's moving average of failures. */
const FAILURE_EWMA_WEIGHT = 0.15;
/** Weight of the newest response in an endpoint's moving average of response times. */
const RESPONSE_TIME_EWMA_WEIGHT = 0.15;
/**
 * Time for which an engine that rejected a request counts as full, ms: about the time until the next count of the
 * group arrives.
 */
const REJECTED_MS = 400;

function isSameProcess(a: PublishedEndpoint, b: PublishedEndpoint): boolean {
  return a.startedAtMs === b.startedAtMs && a.address === b.address;
}

function cancelUnsent(state: EndpointState, reason: string): void {
  for (const cancel of [...state.cancelUnsent]) cancel(reason);
}

/** Dependencies of `Endpoints`. */
export interface EndpointsDeps {
  readonly state: PublishedState;
  readonly clock: Clock;
  readonly random: () => number;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Data centre of this entry. */
  readonly dataCentre: DataCentreId;
  /** Returns the rate limiter of an endpoint process. */
  readonly limiterOf: (endpoint: PublishedEndpoint) => RateLimiter;
  /** Cold endpoints; omitted if none can be. */
  readonly cold?: ColdEndpoints;
  /** Returns the status of an engine as last polled; undefined for plain endpoints and unknown engines. */
  readonly statusOf: (endpoint: PublishedEndpoint) => EngineStatus | undefined;
}

/** Table of the endpoints of this entry; selects one for each attempt. */
export class Endpoints {
  private readonly byId = new Map<EndpointId, EndpointState>();
  /** Previous processes of restarted endpoints that still have requests in flight. */
  private readonly previousProcesses = new Set<EndpointState>();
  /** Records of endpoints for which no state could be created. */
  private readonly unusable = new WeakSet<PublishedEndpoint>();
  /** Leaving endpoints whose waiting attempts are about to be cancelled. */
  private readonly cancelling = new Set<EndpointState>();
  /** As of when the list in use until the last update was confirmed, ms. */
  private listConfirmedAtMs = Number.NEGATIVE_INFINITY;
  private sequence = 0;

  constructor(private readonly deps: EndpointsDeps) {}

  /**
   * Removes unlisted endpoints and previous processes once they have no requests in flight. An endpoint in
   * backoff is kept: it may be missing from the list only briefly.
   */
  prune(): void {
    for (const [id, state] of this.byId) {
      if (this.deps.state.list.has(id) || state.running > 0 || this.isBackingOff(state)) continue;
      this.byId.delete(id);
      state.connections.destroy();
    }
    for (const state of this.previousProcesses) {
      if (state.running > 0) continue;
      this.previousProcesses.delete(state);
      state.connections.destroy();
    }
  }

  /** Closes all connections. */
  close(): void {
    for (const state of [...this.byId.values(), ...this.previousProcesses])
      state.connections.destroy();
  }

  /**
   * Selects the endpoint with the lowest score for one more request; undefined if none is available.
   * Ejected endpoints are used only if no other is left; endpoints in backoff or over their rate limit never.
   * `mayTake` filters the candidates; `nowMs` is the time of the choice.
   */
  choose(
    service: ServiceId,
    tried: ReadonlySet<EndpointId>,
    mayTake: (endpoint: PublishedEndpoint) => boolean = () => true,
    nowMs = this.deps.clock.nowMs(),
  ): EndpointState | undefined {
    const model = this.deps.state.config?.services.get(service)?.engine ?? UNKNOWN_PASS;
    const ranks: RankOption[] = [];
    let best: EndpointState | undefined;
    let bestScore = Number.POSITIVE_INFINITY;
    for (const state of this.usableStates(service)) {
      const { endpoint } = state;
      if (tried.has(endpoint.id) || !mayTake(endpoint)) continue;
      if (state.gate.opening(nowMs).atMs > nowMs) continue;
      const status = this.deps.statusOf(endpoint);
      if (status) {
        const coldWeight = this.coldWeightOf(state);
        const isFar = endpoint.dataCentre !== this.deps.dataCentre;
        ranks.push(rankOption({ state, status, model, coldWeight, isFar, nowMs }));
        continue;
      }
      const score = this.score(state, nowMs);
      if (score < bestScore) {
        best = state;
        bestScore = score;
      }
    }
    return this.chooseAmong(ranks, nowMs) ?? best;
  }

  private chooseAmong(ranks: readonly RankOption[], nowMs: number): EndpointState | undefined {
    const chosen = chooseRank(ranks, this.deps.random);
    if (chosen) chosen.state.reason = placementReason(chosen, ranks, nowMs);
    return chosen?.state;
  }

  /** Whether an endpoint is in the backoff that it requested. */
  isBackingOff(state: EndpointState): boolean {
    return state.gate.backoff.isBackingOff(this.deps.clock.nowMs());
  }

  /** Whether an endpoint may be sent a request now. */
  isAvailable(endpoint: PublishedEndpoint): boolean {
    const nowMs = this.deps.clock.nowMs();
    const state = this.usableStateOf(endpoint);
    return state !== undefined && state.gate.opening(nowMs).atMs <= nowMs;
  }

  /**
   * Returns the earliest time at which any endpoint of a service accepts a request, as of `nowMs`; undefined if it has
   * none.
   * @example const opening = endpoints.firstOpening(service);
   */
  firstOpening(service: ServiceId, nowMs = this.deps.clock.nowMs()): Opening | undefined {
    let first: Opening | undefined;
    for (const state of this.usableStates(service)) {
      const opening = state.gate.opening(nowMs);
      if (!first || opening.atMs < first.atMs) first = opening;
    }
    return first;
  }

  /** Time left until an opening, ms. */
  remainingMs({ atMs }: Opening): number {
    return Math.max(0, atMs - this.deps.clock.nowMs());
  }

  /** Score of an endpoint that is no rank of a known group; the lowest is best. */
  private score(state: EndpointState, nowMs: number): number {
    const load = (state.running + 1) / state.endpoint.slots;
    const slowness = 1 + state.meanResponseMs / 1000;
    const score = (load / this.coldWeightOf(state)) * slowness * failurePenalty(state);
    // Ties go to the least recently used endpoint.
    const tieBreak = state.lastSentSequence / (this.sequence + 1) / 1000;
    return score + tieBreak + (state.health.isEjected(nowMs) ? 1e6 : 0);
  }

  /** Whether an endpoint is known to slow down its group. */
  isSlow(state: EndpointState): boolean {
    return isSlowEngine(this.deps.statusOf(state.endpoint));
  }

  /** The endpoints of a service that receive requests, without those that cannot be used. */
  private *usableStates(service: ServiceId): Iterable<EndpointState> {
    for (const endpoint of this.deps.state.availableEndpoints(service)) {
      const state = this.usableStateOf(endpoint);
      if (state) yield state;
    }
  }

  /** The state of an endpoint; undefined if its record is unusable, which must not fail the choice among the others. */
  private usableStateOf(endpoint: PublishedEndpoint): EndpointState | undefined {
    if (this.unusable.has(endpoint)) return undefined;
    try {
      return this.stateOf(endpoint);
    } catch (err) {
      this.unusable.add(endpoint);
      this.deps.metrics.count('endpoints_unusable_total', { service: endpoint.service });
      this.deps.log.warn('endpoint.unusable', {
        endpoint: endpoint.id,
        address: endpoint.address,
        detail: errorText(err),
      });
      return undefined;
    }
  }

  private stateOf(endpoint: PublishedEndpoint): EndpointState {
    const state = this.byId.get(endpoint.id);
    if (state && isSameProcess(state.endpoint, endpoint)) return state;
    // The endpoint restarted: failures, requests and connections of the old process do not apply.
    if (state) this.previousProcesses.add(state);
    const service = this.deps.state.config?.services.get(endpoint.service);
    const share = Math.floor((service?.maxConnections ?? 0) / ASSUMED_CONNECTION_PEERS);
    const created: EndpointState = {
      endpoint,
      connections: new ReplaceablePool(`http://${endpoint.address}`, {
        connections: Math.max(2, Math.min(MAX_CONNECTIONS, share)),
        pipelining: 1,
        connect: createEndpointConnector(),
        factory: endpointClientFactory((kind, detail) =>
          this.noteMisbehaviour(created, kind, detail),
        ),
        keepAliveTimeout: IDLE_CONNECTION_TIMEOUT_MS,
        headersTimeout: 0,
        bodyTimeout: 0,
      }),
      health: new EndpointHealth(),
      gate: new EndpointGate(this.limiterOf(endpoint)),
      cancelUnsent: new Set(),
      running: 0,
      history: new StreamCountHistory(),
      unreadPrompts: new Map(),
      unreadTokens: 0,
      fullUntilMs: 0,
      firstSeenAtMs: this.deps.clock.nowMs(),
      reason: undefined,
      failureShare: 0,
      meanResponseMs: 0,
      // A random start, so that entries do not all begin with the same endpoint.
      lastSentSequence: this.deps.random(),
    };
    this.byId.set(endpoint.id, created);
    return created;
  }

  /** Part of its usual load that a cold endpoint, or one that was cold a moment ago, is given. */
  private coldWeightOf({ endpoint }: EndpointState): number {
    return this.deps.cold?.weightOf(endpoint) ?? 1;
  }

  private limiterOf(endpoint: PublishedEndpoint): RateLimiter {
    const limiter = this.deps.limiterOf(endpoint);
    return this.deps.cold?.limiterOf(endpoint, limiter) ?? limiter;
  }

  /** Records the start of an attempt, and its prompt if the size is known; returns its time. */
  noteSent(
    state: EndpointState,
    prompt?: { readonly id: string; readonly tokens: number },
  ): number {
    const nowMs = this.deps.clock.nowMs();
    this.sequence += 1;
    state.lastSentSequence = this.sequence;
    state.running += 1;
    state.history.note(state.running, nowMs);
    if (prompt) {
      state.unreadPrompts.set(prompt.id, prompt.tokens);
      state.unreadTokens += prompt.tokens;
    }
    if (state.reason)
      this.deps.metrics.count('placements_total', {
        service: state.endpoint.service,
        reason: state.reason,
      });
    state.health.noteSent(nowMs);
    state.gate.noteSent(nowMs);
    return nowMs;
  }

  /** Records that the prompt of a request was read, or that its attempt ended. */
  notePromptRead(state: EndpointState, requestId: string): void {
    state.unreadTokens -= state.unreadPrompts.get(requestId) ?? 0;
    state.unreadPrompts.delete(requestId);
  }

  /** Records that an endpoint rejected a request without running it: others follow elsewhere. */
  noteRejected(state: EndpointState): void {
    state.fullUntilMs = this.deps.clock.nowMs() + REJECTED_MS;
  }

  /** Records the end of an attempt that was sent at `sentAtMs`. */
  noteEnded(state: EndpointState, sentAtMs: number, requestId?: string): void {
    state.running -= 1;
    state.history.note(state.running, this.deps.clock.nowMs());
    if (requestId !== undefined) this.notePromptRead(state, requestId);
    state.gate.backoff.noteEnded(sentAtMs);
  }

  /** Starts the backoff that an endpoint requested; also cancels attempts that still wait for a connection. */
  noteBackoff(state: EndpointState, restMs: number): void {
    state.gate.backoff.note(restMs, this.deps.clock.nowMs(), this.deps.random);
    cancelUnsent(state, 'the endpoint requested a backoff before the request was sent');
  }

  /** Applies the published list: cancels attempts that wait for a connection to an unsuitable endpoint. */
  noteListed(): void {
    this.cancelUnavailable();
    const nowMs = this.deps.clock.nowMs();
    this.listConfirmedAtMs = nowMs - this.deps.state.confirmedAgoMs(nowMs);
    for (const { id } of this.deps.cold?.update(this.deps.state.list.values()) ?? []) {
      const state = this.byId.get(id);
      if (state) cancelUnsent(state, 'the endpoint turned cold before the request was sent');
    }
  }

  /** Records that no connection to an endpoint could be opened. */
  noteUnreachable({ endpoint }: EndpointState): void {
    this.deps.cold?.noteUnreachable(endpoint);
  }

  /** Records that an endpoint responded, whatever it said. */
  noteReached({ endpoint }: EndpointState): void {
    this.deps.cold?.noteReached(endpoint);
  }

  /**
   * Cancels attempts that still wait for a connection to an endpoint that receives no new requests: at once if its
   * data centre is evacuated, a moment later if it is leaving or was removed from the list.
   */
  cancelUnavailable(): void {
    for (const state of [...this.byId.values(), ...this.previousProcesses]) {
      if (state.cancelUnsent.size === 0) continue;
      if (this.deps.state.evacuated.has(state.endpoint.dataCentre))
        cancelUnsent(state, 'the data centre was evacuated before the request was sent');
      else if (!this.deps.state.isAvailable(state.endpoint.id)) this.cancelLeaving(state);
    }
  }

  /** A leaving endpoint still serves for seconds, while requests that wait for it would crowd the others. */
  private cancelLeaving(state: EndpointState): void {
    if (this.cancelling.has(state)) return;
    this.cancelling.add(state);
    // It left after the list was last confirmed without that.
    const leftAgoMs = this.deps.clock.nowMs() - this.listConfirmedAtMs;
    setTimeout(
      () => {
        this.cancelling.delete(state);
        if (this.deps.state.isAvailable(state.endpoint.id)) return;
        cancelUnsent(state, 'the endpoint left before the request was sent');
      },
      Math.max(0, LEAVING_SEND_MS - leftAgoMs),
    );
  }

  /** Records the first byte of a successful response to an attempt that was sent at `sentAtMs`. */
  noteSuccess(state: EndpointState, sentAtMs: number): void {
    const tookMs = this.deps.clock.nowMs() - sentAtMs;
    state.gate.backoff.noteSuccess(sentAtMs);
    state.health.noteSuccess();
    state.failureShare *= 1 - FAILURE_EWMA_WEIGHT;
    state.meanResponseMs =
      state.meanResponseMs === 0
        ? tookMs
        : state.meanResponseMs + RESPONSE_TIME_EWMA_WEIGHT * (tookMs - state.meanResponseMs);
  }

  /** Records bytes without end, or that nobody requested; an attempt that they end is counted by itself. */
  noteMisbehaviour(state: EndpointState, kind: EndpointMisbehaviour, detail: string): void {
    const { id, service } = state.endpoint;
    this.deps.metrics.count('endpoint_misbehaviour_total', { service, kind });
    this.deps.log.warn('endpoint.misbehaved', { endpoint: id, service, kind, detail });
    if (kind === 'unsolicited') this.noteFailure(state, detail);
  }

  /** Records a failure caused by the endpoint, and ejects it after too many in a row. */
  noteFailure(state: EndpointState, detail: string): void {
    state.failureShare += FAILURE_EWMA_WEIGHT * (1 - state.failureShare);
    if (!state.health.noteFailure(this.deps.clock.nowMs(), this.deps.random)) return;
    this.deps.metrics.count('ejections_total', { service: state.endpoint.service });
    this.deps.log.info('endpoint.ejected', {
      endpoint: state.endpoint.id,
      service: state.endpoint.service,
      failureShare: Number(state.failureShare.toFixed(2)),
      detail,
    });
  }
}
