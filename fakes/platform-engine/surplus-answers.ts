/** Answers that a faulty endpoint sends a second time on a connection, late, in the place of the next answer. */
import type { Socket } from 'node:net';

/** An answer as raw text. */
export interface RawAnswer {
  /** Status line without the protocol, such as `200 OK`. */
  readonly status: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

/**
 * Formats an answer without a length, which ends with its connection.
 * @example socket.end(formatUnframed({ status: '200 OK', headers: {}, body: 'x' }));
 */
export function formatUnframed({ status, headers, body }: RawAnswer): string {
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}`);
  return [`HTTP/1.1 ${status}`, ...lines, '', body].join('\r\n');
}

/**
 * Formats an answer with its length.
 * @example socket.write(formatAnswer({ status: '200 OK', headers: {}, body: 'x' }));
 */
export function formatAnswer(answer: RawAnswer): string {
  const headers = { ...answer.headers, 'content-length': String(answer.body.length) };
  return formatUnframed({ ...answer, headers });
}

/** The answers that are due a second time, by connection. */
export class SurplusAnswers {
  private readonly due = new WeakMap<Socket, RawAnswer>();
  private readonly spoiled = new WeakSet<Socket>();

  /** Has an answer sent again in the place of the next one on its connection. */
  repeat(socket: Socket, answer: RawAnswer): void {
    this.due.set(socket, answer);
  }

  /** Notes that a connection carries bytes that belong to no request. */
  spoil(socket: Socket): void {
    this.spoiled.add(socket);
  }

  /** Sends what is due before the answer to the next request, and returns it. */
  sendDue(socket: Socket): RawAnswer | undefined {
    const answer = this.due.get(socket);
    if (answer === undefined) return undefined;
    this.due.delete(socket);
    this.spoil(socket);
    socket.write(formatAnswer(answer));
    return answer;
  }

  /** Whether a connection has carried bytes that belong to no request; a peer may close it at any time. */
  isSpoiled(socket: Socket): boolean {
    return this.spoiled.has(socket);
  }
}
