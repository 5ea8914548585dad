/** Endpoints that ask for something in their answers, and what came to them. */
import { startRawEndpoint, answerHead, type RawRequest } from '../../fakes/raw-endpoint/index.js';

/** Time of an ordinary request, ms. */
const WORK_MS = 20;

/** One request as it came, or the answer to it. */
export interface Seen {
  readonly atMs: number;
  /** The entry that sent it, as its id tells. */
  readonly entry: string;
}

/** What an endpoint answers: a status, and headers beside the usual ones. */
export interface Behaviour {
  readonly status?: 503 | 421;
  readonly headers: readonly string[];
  /** Time until the answer, ms. */
  readonly workMs?: number;
}

/** A running endpoint. */
export interface AskingEndpoint {
  readonly address: string;
  /** What came, in order. */
  readonly arrivals: Seen[];
  /** Answers in which something was asked for, in order. */
  readonly asked: Seen[];
  behaviour: () => Behaviour;
  close(): void;
}

const PLAIN: Behaviour = { headers: [] };

/** Id of a request that tells its entry. */
export function requestId(entry: string, n: number): string {
  return `${entry}.${n}`;
}

/**
 * Starts an endpoint.
 * @example const endpoint = await startAskingEndpoint(); endpoint.behaviour = () => resting(3);
 */
export async function startAskingEndpoint(): Promise<AskingEndpoint> {
  const seen = (req: RawRequest): Seen => ({
    atMs: performance.now(),
    entry: req.headers['x-request-id']?.split('.')[0] ?? '',
  });
  const answer = (req: RawRequest, { status, headers }: Behaviour): void => {
    if (headers.length > 0) endpoint.asked.push(seen(req));
    const line = status ? `${status} Turned Away` : '200 OK';
    const body = status ? '' : 'ok';
    const more = [...headers, ...(status ? ['X-Not-Executed: 1'] : [])];
    const head = answerHead(req, line, [...more, `Content-Length: ${body.length}`]);
    req.socket.write(head + body);
  };
  const raw = await startRawEndpoint((req) => {
    endpoint.arrivals.push(seen(req));
    const behaviour = endpoint.behaviour();
    if (behaviour.status) answer(req, behaviour);
    else setTimeout(() => answer(req, behaviour), behaviour.workMs ?? WORK_MS);
  });
  const endpoint: AskingEndpoint = {
    address: raw.address,
    arrivals: [],
    asked: [],
    behaviour: () => PLAIN,
    close: () => raw.close(),
  };
  return endpoint;
}

/** Turns a request away and asks for rest, s. */
export const resting = (seconds: number | string): Behaviour => ({
  status: 503,
  headers: [`Retry-After: ${seconds}`],
});

/** Serves, and says that it leaves. */
export const leaving: Behaviour = { headers: ['Server-Leaving: 1'] };

/** Serves, and names a limit, requests a second. */
export const limiting = (perS: number): Behaviour => ({ headers: [`Server-Limit: ${perS}`] });

/** Time after an answer that asks for rest in which what was under way may still come, ms. */
const REST_FROM_MS = 500;

/** Most requests that came from one entry within one rest that it had been asked for. */
export function mostWithinRest({ arrivals, asked }: AskingEndpoint, restMs: number): number {
  const within = asked.map(({ atMs, entry }) => {
    const late = arrivals.filter((a) => a.entry === entry && a.atMs > atMs + REST_FROM_MS);
    return late.filter((a) => a.atMs < atMs + restMs).length;
  });
  return Math.max(0, ...within);
}

/** Time after the first answer with a limit from which it binds, ms. */
const LIMIT_FROM_MS = 3000;
const LIMIT_WINDOW_MS = 4000;

/** Most requests that came within some 4 s, from all entries together, from when on the limit binds. */
export function mostWithinLimitWindow({ arrivals, asked }: AskingEndpoint): number {
  const fromMs = (asked[0]?.atMs ?? 0) + LIMIT_FROM_MS;
  const late = arrivals.map(({ atMs }) => atMs).filter((atMs) => atMs > fromMs);
  const within = late.map(
    (atMs) => late.filter((other) => other >= atMs && other < atMs + LIMIT_WINDOW_MS).length,
  );
  return Math.max(0, ...within);
}

/** Requests that may come in 4 s where an endpoint takes so many a second. */
export const allowedInLimitWindow = (perS: number): number => 1.5 * perS * 4 + 5;
