/** Admission at one entry: open requests per organisation, token shares and sacrifice order of events. */
import { Admission, pressureOf, type AdmissionRequest } from '../core/admission/index.js';
import type { Clock } from '../core/clock/index.js';
import type { Metrics } from '../core/metrics/index.js';
import { Err, Ok, type Result } from '../core/result/index.js';
import type { GatewayRequest, Refusal } from '../gateway/index.js';
import type { ConfigurationBody } from '../generated/configuration.types.js';
import { CALLER_HEADERS, ASSUMED_ENDPOINT_SLOTS, PRIORITY, ASSUMED_TOKEN_MS } from './consts.js';

/** Dependencies and options of the limits. */
export interface OrganisationLimitsDeps {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly body: () => ConfigurationBody | undefined;
  /** Live entries, among which an organisation's tokens are divided. */
  readonly liveEntries: () => number;
  /** Open requests allowed per organisation at this entry. */
  readonly maxOpenRequests: number;
}

/** Admits requests within the limits of their organisations. */
export class OrganisationLimits {
  private readonly admission = new Admission();
  /** Number of open requests by organisation and by target. */
  private readonly openRequests = new Map<string, number>();

  constructor(private readonly parts: OrganisationLimitsDeps) {}

  /**
   * Admits a request or refuses it at once; the caller invokes the returned function when it ends.
   * @example const admitted = limits.admit(request); if (admitted.ok) admitted.val();
   */
  admit(request: GatewayRequest): Result<() => void, Refusal> {
    const { parts } = this;
    const body = parts.body();
    const organisation = body?.organisations.find((o) => o.id === request.organisation?.id);
    if (!body || !organisation) return Ok(() => undefined);
    const openCount = this.openRequests.get(organisation.id) ?? 0;
    if (openCount >= parts.maxOpenRequests) {
      const detail = `${openCount} requests of organisation ${organisation.id} are open at this entry, its limit.`;
      return Err({ reason: 'streams-exceeded', detail });
    }
    const target = request.route.shares[0]?.service ?? '';
    const admissionRequest = this.estimate(request, organisation.id, target, body);
    parts.metrics.observe('admission_pressure_permille', pressureOf(admissionRequest) * 1000);
    const refusal = this.admission.admit(
      admissionRequest,
      organisation,
      body,
      parts.liveEntries(),
      parts.clock.nowMs(),
      parts.clock.wallMs(),
    );
    if (refusal) {
      const { reason, detail, retryAfterS } = refusal;
      return Err({ reason, detail, ...(retryAfterS !== undefined && { retryAfterS }) });
    }
    for (const name of [organisation.id, target]) this.changeOpenCount(name, 1);
    return Ok(() => {
      for (const name of [organisation.id, target]) this.changeOpenCount(name, -1);
    });
  }

  private changeOpenCount(name: string, change: 1 | -1): void {
    const count = (this.openRequests.get(name) ?? 0) + change;
    if (count > 0) this.openRequests.set(name, count);
    else this.openRequests.delete(name);
  }

  private estimate(
    request: GatewayRequest,
    organisation: string,
    target: string,
    body: ConfigurationBody,
  ): AdmissionRequest {
    const model = body.models.find((m) => m.id === target);
    const endpoints = model ?? body.services.find((s) => s.id === target);
    // This entry's share of the target's slots; open requests beyond them are queued.
    const slots =
      ((endpoints?.endpoints.length ?? 1) * ASSUMED_ENDPOINT_SLOTS) / this.parts.liveEntries();
    const queuedPerSlot = Math.max(0, (this.openRequests.get(target) ?? 0) - slots) / slots;
    const expectedRunMs = (request.tokens ?? 0) * ASSUMED_TOKEN_MS;
    return {
      organisation,
      target,
      // A call to a plain service counts as one token.
      tokens: request.tokens ?? 1,
      predictedMs: expectedRunMs * (1 + queuedPerSlot),
      waitMs: expectedRunMs * queuedPerSlot,
      deadlineMs: request.remainingMs(),
      priority: Number(request.req.headers[CALLER_HEADERS.priority] ?? PRIORITY.default),
    };
  }
}
