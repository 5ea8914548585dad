/** Types of the gateway: the request path of an entry. */
import type { IncomingHttpHeaders, IncomingMessage, ServerResponse } from 'node:http';
import type { AnswerAsks } from '../core/backpressure/index.js';
import type { InstanceId, OrganisationId } from '../core/ids/index.js';
import type {
  DataCentreId,
  Organisation,
  PublishedConfig,
  PublishedEndpoint,
  Route,
} from '../core/published/index.js';
import type { Result } from '../core/result/index.js';
import type { Refusal } from './refuse.js';

/** Where a server listens. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Settings of a gateway, whatever file they were read from. Durations in ms. */
export interface GatewaySettings {
  /**
   * Longest time that a key may be honoured after it was taken away; infinite where an entry that is cut off
   * from the store had better go on serving with the keys that it knows: in an outage of the store of 8 s nearly
   * all callers were refused otherwise, and a day's worth was 0.43 in place of 0.58.
   */
  readonly keyProofMs: number;
  /** Time within which a change must be in force. */
  readonly configApplyMs: number;
  /** Time that a caller has to send its body; where it is missing, all the time of its request. */
  readonly bodyMs?: number;
  /** Largest header that is read at all, bytes. */
  readonly parserHeaderBytes: number;
  /** Retries allowed beyond the share of first attempts, by all entries together. */
  readonly retryExtra: number;
  /** Time within which these retries, and the share of its first attempts, may be taken. */
  readonly retryWindowMs: number;
}

/** Settings of one process on an instance without a disk, whatever file they were read from. */
export interface InstanceSettings {
  readonly instance: InstanceId;
  readonly ip: string;
  readonly dataCentre: DataCentreId;
  readonly store: ListenAddress;
  readonly callers: ListenAddress | undefined;
  /** Where the platform asks whether callers may be sent here. */
  readonly ready: ListenAddress | undefined;
  /** Where an entry answers other daemons that would hear from it what is published. */
  readonly control: ListenAddress | undefined;
  /** Entries that tell what is published, as `control` addresses; some may be gone. */
  readonly relays: readonly string[];
  /** Port on which daemons talk to each other; the same on all instances. */
  readonly internalPort: number;
  /** The endpoint beside which this process runs. */
  readonly ownEndpoint: ListenAddress | undefined;
  /** Time from the signal to stop until the process is killed, ms. */
  readonly stopMs: number;
  /** Time after which an instance whose connections fell silent is bound by what is published again, ms. */
  readonly contactMs: number;
  /** Retries allowed for each request, by all entries together. */
  readonly retryShare: number;
  readonly gateway: GatewaySettings;
}

/** What a caller's request says in its headers. */
export interface CallerHead {
  readonly requestId: string | undefined;
  readonly host: string;
  /** Time that the caller waits, ms; undefined when it does not say. */
  readonly deadlineMs: number | undefined;
  readonly key: string | undefined;
  /** Id of the last event that the caller already has. */
  readonly resumeAfter: number | undefined;
  /** What is wrong with a header, and the remedy. */
  readonly invalid?: string;
}

/** What an entry adds to a request for one attempt. */
export interface AttemptMeta {
  readonly requestId: string;
  readonly endpoint: PublishedEndpoint;
  readonly organisation: OrganisationId | undefined;
  /** Time that is left, ms. */
  readonly deadlineMs: number;
  /** Id of the last event that was delivered; the answer goes on behind it. */
  readonly resumeAfter: number | undefined;
}

/** What an endpoint's answer says in its headers. */
export interface AnswerHead {
  readonly status: number;
  /** Id of the request that this answers. */
  readonly requestId: string | undefined;
  /** Whether the endpoint signed it. */
  readonly isSigned: boolean;
  /** Whether the endpoint says that the request has not run. */
  readonly isNotRun: boolean;
  /** Whether the body is encoded in a way that no caller asked for. */
  readonly isEncoded: boolean;
  /** What the endpoint asks for. */
  readonly asks: AnswerAsks;
  /** Headers to pass on. */
  readonly headers: Record<string, string | string[]>;
}

/**
 * What one interface towards callers and endpoints does in its own way. Only headers are needed; where a
 * function is missing, routes are found by host and prefix, and every request is let in.
 */
export interface CallerInterface extends HeaderCodec {
  /** Header in which callers are told the id of their request, where it is ours. */
  readonly requestIdHeader?: string;
  /** The route of a request by its head. */
  readonly routeOf?: (
    config: PublishedConfig,
    head: CallerHead,
    req: IncomingMessage,
  ) => Route | undefined;
  /** What the body tells; an error is the final answer. */
  readonly readContent?: (request: GatewayRequest) => Result<RequestContent, Refusal>;
  /** Answers a request that needs no endpoint; false when it is none of these. */
  readonly answer?: (req: IncomingMessage, res: ServerResponse) => boolean;
  /** The path of a request at its endpoint. */
  readonly pathAt?: (url: string) => string;
  /** Whether a request may run now; an error refuses it. What it returns is called at the request's end. */
  readonly admit?: (request: GatewayRequest) => Result<() => void, Refusal>;
}

/** Reads and writes the headers of one interface; decides nothing. */
export interface HeaderCodec {
  readonly readCaller: (headers: IncomingHttpHeaders) => CallerHead;
  readonly writeAttempt: (
    headers: IncomingHttpHeaders,
    meta: AttemptMeta,
  ) => Record<string, string | string[]>;
  readonly readAnswer: (status: number, headers: IncomingHttpHeaders) => AnswerHead;
}

/** What the body of a request tells, where its interface reads it. */
export interface RequestContent {
  readonly route: Route;
  /** Estimated tokens of prompt and answer together. */
  readonly tokens?: number;
}

/** One caller's request whose body has come. */
export interface GatewayRequest extends RequestContent {
  readonly id: string;
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly head: CallerHead;
  readonly organisation: Organisation | undefined;
  readonly body: Buffer;
  /** Monotonic time at which it arrived, ms. */
  readonly arrivedAtMs: number;
  /** Time for which it may still be held, ms; time for which this machine was suspended counts. */
  readonly leftMs: () => number;
  /** Aborts when the caller goes away. */
  readonly gone: AbortSignal;
}

/** Why an attempt brought no answer. */
export type AttemptFault =
  /** The endpoint, or the lack of a connection, proves that the request has not run. */
  | { readonly kind: 'not-run'; readonly detail: string }
  /** It has not run: the endpoint asks for rest, and either turned it away or was not sent it for that. */
  | { readonly kind: 'resting'; readonly detail: string }
  /** It may have run. */
  | { readonly kind: 'broke'; readonly detail: string }
  /** No sign of an answer in the time given. */
  | { readonly kind: 'silent'; readonly detail: string }
  /** Given up by the entry, since the endpoint is slow and another one can go on. */
  | { readonly kind: 'slow'; readonly detail: string };
