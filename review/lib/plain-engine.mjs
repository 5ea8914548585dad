/**
 * Stand-in of an engine of a plain service, as PROTOCOL.md describes it. It works on `slots` requests at
 * once, queues a few more, and turns away the rest with 503 and X-Not-Executed.
 */
import net from 'node:net';
import { nowMs } from './deployment.mjs';

const HEAD_END = '\r\n\r\n';

function parseHead(head) {
  const [line = '', ...rest] = head.split('\r\n');
  const headers = {};
  for (const one of rest) {
    const colon = one.indexOf(':');
    headers[one.slice(0, colon).toLowerCase()] = one.slice(colon + 1).trim();
  }
  return { line, headers };
}

/**
 * Starts an engine. `workMs()` gives the time of one request, `fails()` whether it ends with the engine's own 500. `afterAnswer(bytes, channel)` sees each answer
 * as it is sent; `beforeRequest(channel)` runs once the next request on a channel has been read.
 */
export async function startPlainEngine({
  host,
  id,
  record,
  slots = 6,
  queue = 24,
  maxConnections = 48,
  workMs,
  fails = () => false,
  afterAnswer = () => undefined,
  beforeRequest = () => undefined,
}) {
  let running = 0;
  let stamps = 0;
  let hasEnded = false;
  const waiting = [];
  const channels = new Set();

  function answer(request, status, extra, body) {
    const { channel, headers } = request;
    stamps += 1;
    const head = [
      `HTTP/1.1 ${status}`,
      ...(headers['x-request-id'] ? [`X-Request-Id: ${headers['x-request-id']}`] : []),
      `X-Server-Stamp: ${id}.${stamps}`,
      `Content-Length: ${body.length}`,
      ...extra,
    ];
    const bytes = `${head.join('\r\n')}${HEAD_END}${body}`;
    if (channel.destroyed) return;
    channel.write(bytes);
    afterAnswer(bytes, channel, status);
  }

  function turnAway(request, status) {
    record({ engine: id, at: nowMs(), what: 'turned-away', id: request.id, status });
    answer(request, status, ['X-Not-Executed: 1'], '');
  }

  function begin(request) {
    running += 1;
    record({ engine: id, at: nowMs(), what: 'run', id: request.id, path: request.path });
    const end = (isDone) => {
      if (request.isOver) return;
      request.isOver = true;
      clearTimeout(timer);
      running -= 1;
      record({ engine: id, at: nowMs(), what: isDone ? 'done' : 'dropped', id: request.id });
      if (isDone && fails()) answer(request, '500 Internal Server Error', [], 'failed');
      else if (isDone) answer(request, '200 OK', [], `${request.path} by ${id} for ${request.id}`);
      const next = waiting.shift();
      if (next) begin(next);
    };
    const timer = setTimeout(() => end(true), workMs());
    request.drop = () => end(false);
  }

  function take(request) {
    const { headers } = request;
    record({ engine: id, at: nowMs(), what: 'received', id: request.id, path: request.path });
    if (!request.id) return turnAway(request, '400 Bad Request');
    if (headers['x-expect-instance'] !== undefined && headers['x-expect-instance'] !== id)
      return turnAway(request, '421 Misdirected Request');
    if (running < slots) return begin(request);
    if (waiting.length < queue) return void waiting.push(request);
    return turnAway(request, '503 Service Unavailable');
  }

  const server = net.createServer((channel) => {
    if (channels.size >= maxConnections) return void channel.resetAndDestroy();
    channels.add(channel);
    const own = new Set();
    channel.on('error', () => undefined);
    channel.on('close', () => {
      channels.delete(channel);
      // Most engines drop a request when its channel closes.
      for (const request of own) {
        const at = waiting.indexOf(request);
        if (at >= 0) waiting.splice(at, 1);
        request.drop?.();
      }
    });
    let text = '';
    channel.on('data', (bytes) => {
      text += bytes.toString('latin1');
      for (let end = text.indexOf(HEAD_END); end >= 0; end = text.indexOf(HEAD_END)) {
        const { line, headers } = parseHead(text.slice(0, end));
        const bodyAt = end + HEAD_END.length;
        const length = Number(headers['content-length'] ?? 0);
        if (text.length < bodyAt + length) return;
        text = text.slice(bodyAt + length);
        const request = { id: headers['x-request-id'], path: line.split(' ')[1], headers, channel };
        own.add(request);
        beforeRequest(channel);
        take(request);
      }
    });
  });
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, host, resolve);
  });
  return {
    id,
    address: `${host}:${server.address().port}`,
    get running() {
      return running;
    },
    /** The process of the engine ends: what it works on is lost, its port refuses. */
    end() {
      hasEnded = true;
      server.close();
      for (const channel of channels) channel.resetAndDestroy();
    },
    close() {
      if (!hasEnded) server.close();
      for (const channel of channels) channel.destroy();
    },
  };
}
