/** Types of the gateway, the request path of an entry. */
import type { IncomingHttpHeaders, IncomingMessage, ServerResponse } from 'node:http';
import type { BackpressureSignals } from '../core/backpressure/index.js';
import type { InstanceId, OrganisationId } from '../core/ids/index.js';
import type {
  DataCentreId,
  Organisation,
  PublishedConfig,
  PublishedEndpoint,
  Route,
} from '../core/published/index.js';
import type { Result } from '../core/result/index.js';
import type { Refusal } from './requests/refuse.js';

/** Address on which a server listens. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Settings of a gateway, independent of the file format. Durations in ms. */
export interface GatewaySettings {
  /**
   * Maximum time for which a revoked key is still accepted. Infinite if an entry that is cut off
   * from the store should keep serving with the keys that it knows: with a finite time, a store
   * outage of 8 s led to nearly all callers being refused, and the value of a day's responses was
   * 0.43 instead of 0.58.
   */
  readonly keyFreshnessMs: number;
  /** Time within which a configuration change must take effect. */
  readonly configApplyMs: number;
  /** Timeout of reading a request body; defaults to the deadline of the request. */
  readonly bodyMs?: number;
  /** Maximum size of a request header that the HTTP parser accepts, bytes. */
  readonly parserHeaderBytes: number;
  /** Memory of the instance, bytes; a share of it may be used for buffered bodies and responses. */
  readonly memoryBytes: number;
  /** Descriptors that the process may have open. */
  readonly descriptors: number;
  /**
   * Whether groups admit by an admission level if their requests differ in urgency; off by default. With 33 entries
   * before 72 ranks the level admits more streams than the group bears after it stood still.
   */
  readonly hasAdmissionLevel?: boolean;
  /** Retries of all entries together that are allowed in addition to the retry share. */
  readonly retryExtra: number;
  /** Sliding window of the retry budget, for both the extra retries and the retry share. */
  readonly retryWindowMs: number;
}

/** Settings of one process on an instance without a disk, independent of the file format. */
export interface InstanceSettings {
  readonly instance: InstanceId;
  readonly ip: string;
  readonly dataCentre: DataCentreId;
  readonly store: ListenAddress;
  readonly callers: ListenAddress | undefined;
  /** Address of the readiness check that the platform calls. */
  readonly ready: ListenAddress | undefined;
  /** Address on which an entry relays the published state to other daemons. */
  readonly control: ListenAddress | undefined;
  /** `control` addresses of entries that relay the published state; some may no longer run. */
  readonly relays: readonly string[];
  /** Port of the RPC between daemons; the same on all instances. */
  readonly internalPort: number;
  /** The endpoint on the same instance as this process. */
  readonly ownEndpoint: ListenAddress | undefined;
  /** Time between the stop signal and SIGKILL, ms. */
  readonly stopGraceMs: number;
  /** Time without contact after which an instance follows the published state again, ms. */
  readonly contactMs: number;
  /** Retries allowed per request, over all entries. */
  readonly retryShare: number;
  readonly gateway: GatewaySettings;
}

/** Parsed headers of a caller's request. */
export interface RequestHead {
  readonly requestId: string | undefined;
  readonly host: string;
  /** Time for which the caller waits, ms; undefined if the request does not name it. */
  readonly deadlineMs: number | undefined;
  readonly key: string | undefined;
  /** Id of the last event that the caller has received. */
  readonly resumeAfter: number | undefined;
  /** Tokens of the prompt of a request to a model engine. */
  readonly promptTokens?: number | undefined;
  /** Most tokens that the answer may have. */
  readonly maxOutputTokens?: number | undefined;
  /** The caller's estimate of the tokens of the answer: right in the median, often far off. */
  readonly expectedOutputTokens?: number | undefined;
  /** Description of an invalid header, and how to correct it. */
  readonly invalid?: string;
}

/** Metadata that an entry adds to a request for one attempt. */
export interface AttemptMeta {
  readonly requestId: string;
  readonly endpoint: PublishedEndpoint;
  readonly organisation: OrganisationId | undefined;
  /** Remaining time, ms. */
  readonly deadlineMs: number;
  /** Id of the last event delivered to the caller; the response resumes after it. */
  readonly resumeAfter: number | undefined;
}

/** Status and parsed headers of an endpoint's response. */
export interface ResponseHead {
  readonly status: number;
  /** Id of the request that the response belongs to. */
  readonly requestId: string | undefined;
  /** Whether it carries the endpoint's signature header. */
  readonly isSigned: boolean;
  /** Whether the endpoint states that the request has not run. */
  readonly isNotRun: boolean;
  /** Whether the body has a content encoding, which no request accepts. */
  readonly isEncoded: boolean;
  /** The endpoint's backpressure signals. */
  readonly asks: BackpressureSignals;
  /** Headers to forward to the caller. */
  readonly headers: Record<string, string | string[]>;
}

/**
 * Protocol of one API towards callers and endpoints. Only the header codec is required: by default,
 * routes are looked up by host and path prefix, and every request is admitted.
 */
export interface CallerApi extends HeaderCodec {
  /** Response header with the id of the request, if the entry assigns the id. */
  readonly requestIdHeader?: string;
  /** Looks up the route of a request by its headers. */
  readonly routeOf?: (
    config: PublishedConfig,
    head: RequestHead,
    req: IncomingMessage,
  ) => Route | undefined;
  /** Parses the request body; an error is sent as the final response. */
  readonly readContent?: (request: GatewayRequest) => Result<RequestContent, Refusal>;
  /** Serves a request that needs no endpoint; returns false for all others. */
  readonly answer?: (req: IncomingMessage, res: ServerResponse) => boolean;
  /** Maps the request path to the path at the endpoint. */
  readonly upstreamPath?: (url: string) => string;
  /** Admits or refuses a request; the returned function is called when the request ends. */
  readonly admit?: (request: GatewayRequest) => Result<() => void, Refusal>;
}

/** Parses and writes the headers of one API; makes no decisions. */
export interface HeaderCodec {
  readonly readRequest: (headers: IncomingHttpHeaders) => RequestHead;
  /** Ids of the parts of the prompt, in order; read only after endpoints crashed. */
  readonly readPromptParts?: (headers: IncomingHttpHeaders) => readonly string[];
  readonly writeAttempt: (
    headers: IncomingHttpHeaders,
    meta: AttemptMeta,
  ) => Record<string, string | string[]>;
  readonly readResponse: (status: number, headers: IncomingHttpHeaders) => ResponseHead;
}

/** Parsed body of a request, for APIs that read it. */
export interface RequestContent {
  readonly route: Route;
  /** Estimated number of tokens of prompt and completion together. */
  readonly tokens?: number;
}

/** A caller's request whose body has been read. */
export interface GatewayRequest extends RequestContent {
  readonly id: string;
  /** To be called before the request is sent, after which it may have run. */
  readonly noteSent: () => void;
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly head: RequestHead;
  readonly organisation: Organisation | undefined;
  readonly body: Buffer;
  /** Monotonic arrival time, ms. */
  readonly arrivedAtMs: number;
  /** Time until its deadline, ms; time during which the process was suspended counts. */
  readonly remainingMs: () => number;
  /** Aborted when the caller disconnects, or got its final response while the request was still served. */
  readonly gone: AbortSignal;
}

/** Why the headers of a response show that it must not be used; label `reason` of `responses_rejected_total`. */
export type RejectReason =
  'other-request' | 'no-request-id' | 'unsigned' | 'encoded' | 'invalid-status';

/** The response on which a fault rests, for the log. */
export interface FaultEvidence {
  readonly status: number;
  /** Id of the request that the response names; undefined if it names none. */
  readonly responseId: string | undefined;
  /** Age of its connection, ms, and the requests written to it. */
  readonly connectionMs: number;
  readonly connectionRequests: number;
}

/** How an endpoint sent bytes without end, or that nobody requested; label `kind` of `endpoint_misbehaviour_total`. */
export type EndpointMisbehaviour =
  /** The head of a response, or interim responses before it, exceed their limit. */
  | 'head-limit'
  | 'interim-limit'
  /** Chunk headers, chunk extensions or trailers exceed their limit. */
  | 'framing-limit'
  /** An event of a stream, complete or not, exceeds its limit. */
  | 'event-limit'
  /** A response that is not streamed exceeds its limit. */
  | 'body-limit'
  /** Bytes arrived while no request was in flight on their connection. */
  | 'unsolicited';

/** Why an attempt produced no response. */
export type AttemptFault = AttemptFaultKind & { readonly evidence?: FaultEvidence };

type AttemptFaultKind =
  /** The request has not run: the endpoint states so, or the connection failed. */
  | {
      readonly kind: 'not-run';
      readonly detail: string;
      readonly isUnreachable?: boolean;
      readonly isUnsent?: boolean;
    }
  /** It has not run: the endpoint requested a backoff and refused it, or it was not sent there. */
  | { readonly kind: 'resting'; readonly detail: string; readonly isUnsent?: boolean }
  /** The connection or the response failed; the request may have run. */
  | {
      readonly kind: 'broke';
      readonly detail: string;
      readonly rejected?: RejectReason;
      /** The limit of the response that the endpoint exceeded. */
      readonly overLimit?: EndpointMisbehaviour;
    }
  /** No response, or no further event, within the timeout. */
  | { readonly kind: 'silent'; readonly detail: string }
  /** Aborted by the entry because the endpoint is slow and another one can resume the stream. */
  | { readonly kind: 'slow'; readonly detail: string };
