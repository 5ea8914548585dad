/**
 * Bounds the bytes that an endpoint sends besides response bodies: heads, interim responses, chunk framing,
 * trailers, and bytes that nobody requested. The HTTP parser does not stop within a chunk of the socket, and
 * creates an error for each header behind its limit, so that it is given no more bytes than the limit allows.
 */
import type { Socket } from 'node:net';
import { errors } from 'undici';
import { interceptReads, type ReadSocket } from '../../runtime/socket-reads.js';
import {
  MAX_FRAMING_BYTES,
  MAX_FRAMING_PER_BODY_BYTE,
  MAX_RESPONSE_HEAD_BYTES,
} from '../consts.js';
import type { EndpointMisbehaviour } from '../types.js';

/** Called with a violation and its description. */
export type ReportMisbehaviour = (kind: EndpointMisbehaviour, detail: string) => void;

/** How a server may end an idle connection (RFC 9110, 15.5.9); no failure of it. */
const IDLE_EXPIRY = /^HTTP\/1\.[01] 408 /;

/** Part of a response that is expected next. */
type Expected = 'nothing' | 'head' | 'body';

const FRAMING_TEXT = `more than ${MAX_FRAMING_BYTES} bytes of chunk headers or trailers`;

/** Meters the responses on one connection. */
export class ResponseMeter {
  private expected: Expected = 'nothing';
  private interims = 0;
  private bodyBytes = 0;
  /** Bytes read from the socket before the response. */
  private start = 0;
  /** Body bytes and framing bytes at the last read that followed a part of the body. */
  private readBody = 0;
  private readFraming = 0;

  /** @example new ResponseMeter(socket, (kind, detail) => log.warn(kind, { detail })); */
  constructor(
    private readonly socket: Socket,
    private readonly report: ReportMisbehaviour,
  ) {
    interceptReads(socket, (read) => this.meter(read));
  }

  /** A request is written to the connection. */
  startResponse(): void {
    this.expected = 'head';
    this.interims = 0;
    this.start = this.consumedBytes();
  }

  /** The headers of an interim response have been parsed. */
  noteInterim(): void {
    this.interims += 1;
  }

  /** The headers of the final response have been parsed. */
  startBody(): void {
    this.expected = 'body';
    this.bodyBytes = 0;
    this.readBody = 0;
    this.readFraming = 0;
  }

  /** A part of the body has been parsed. */
  noteBody(bytes: number): void {
    this.bodyBytes += bytes;
  }

  /** The response is complete. */
  endResponse(): void {
    this.expected = 'nothing';
  }

  /** Bytes of the connection that were handed to the parser. */
  private consumedBytes(): number {
    return this.socket.bytesRead - this.socket.readableLength;
  }

  /** Reads at most the bytes that the expected part may still have, so that the limit holds within a chunk. */
  private meter(read: ReadSocket): Buffer | null {
    if (this.socket.readableLength === 0) return read();
    const allowance = this.allowance();
    if (allowance <= 0) return this.reject(read);
    const chunk = read();
    if (!chunk || chunk.length <= allowance) return chunk;
    this.socket.unshift(chunk.subarray(allowance));
    return chunk.subarray(0, allowance);
  }

  private allowance(): number {
    if (this.expected === 'nothing') return 0;
    const consumed = this.consumedBytes() - this.start;
    if (this.expected === 'head') return MAX_RESPONSE_HEAD_BYTES - consumed;
    const framing = consumed - this.bodyBytes;
    if (this.bodyBytes > this.readBody) {
      this.readBody = this.bodyBytes;
      this.readFraming = framing;
    }
    const sinceBody = MAX_FRAMING_BYTES - (framing - this.readFraming);
    const total = MAX_FRAMING_BYTES + MAX_FRAMING_PER_BODY_BYTE * this.bodyBytes - framing;
    return Math.min(sinceBody, total);
  }

  private reject(read: ReadSocket): null {
    const [kind, detail] = this.violation();
    const isExpiry = this.expected === 'nothing' && IDLE_EXPIRY.test(String(read()));
    if (!isExpiry) this.report(kind, detail);
    // Of this class, since others fail the requests that wait for the connection.
    this.socket.destroy(new errors.SocketError(detail));
    return null;
  }

  private violation(): [EndpointMisbehaviour, string] {
    if (this.expected === 'nothing')
      return ['unsolicited', 'the endpoint sent bytes that belong to no request'];
    if (this.expected === 'body')
      return ['framing-limit', `the response has ${FRAMING_TEXT} without a part of its body`];
    const limit = `larger than ${MAX_RESPONSE_HEAD_BYTES} bytes`;
    if (this.interims === 0) return ['head-limit', `the head of the response is ${limit}`];
    return ['interim-limit', `${this.interims} interim responses and the head are ${limit}`];
  }
}
