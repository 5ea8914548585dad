/** Stand-in of a client: keeps one channel to an entry and sends one request after the other. */
import { randomBytes } from 'node:crypto';
import http from 'node:http';
import { nowMs } from './deployment.mjs';

export const newId = () => randomBytes(8).toString('hex');

/** Sends one request; resolves with its end as the client sees it. */
export function send({
  host,
  port,
  agent,
  record,
  id = newId(),
  method = 'POST',
  path,
  headers,
  budgetMs,
  body = '',
}) {
  const sentAt = nowMs();
  record({ client: true, at: sentAt, what: 'sent', id, path });
  return new Promise((resolve) => {
    let isDone = false;
    const done = (end) => {
      if (isDone) return;
      isDone = true;
      clearTimeout(timer);
      const result = {
        id,
        path,
        sentAt,
        tookMs: nowMs() - sentAt,
        isKept: req.reusedSocket,
        ...end,
      };
      record({
        client: true,
        at: nowMs(),
        what: 'answered',
        id,
        status: result.status,
        isWhole: result.isWhole,
        isKept: result.isKept || undefined,
        error: result.error,
        retryAfter: result.headers?.['retry-after'],
      });
      resolve(result);
    };
    const req = http.request(
      {
        host,
        port,
        method,
        path,
        agent,
        headers: {
          ...headers,
          'x-request-id': id,
          'x-deadline-ms': String(budgetMs),
          'content-length': Buffer.byteLength(body),
        },
      },
      (res) => {
        let text = '';
        res.on('data', (piece) => (text += piece));
        res.on('end', () =>
          done({ status: res.statusCode, headers: res.headers, body: text, isWhole: res.complete }),
        );
        res.on('error', () => undefined);
        res.on('close', () => {
          if (!res.complete)
            done({ status: res.statusCode, headers: res.headers, body: text, isWhole: false });
        });
      },
    );
    // The client gives up at the end of its time budget.
    const timer = setTimeout(() => req.destroy(new Error('time budget')), budgetMs);
    req.on('error', (err) => done({ status: 0, isWhole: false, error: err.message }));
    req.end(body);
  });
}
