/** Stand-in of an engine of a plain service: runs each request after a time and records it. */
import http from 'node:http';

/** Starts an engine; `onRun` is called when it begins work on a request, `answerOf` may give its answer. */
export async function startEngine({ host, id, workMs = 20, onRun, answerOf = () => undefined }) {
  const server = http.createServer((req, res) => {
    const chunks = [];
    req.on('data', (chunk) => chunks.push(chunk));
    req.on('error', () => undefined);
    req.on('end', () => {
      const requestId = req.headers['x-request-id'];
      const answer = (status, body, headers = {}) => {
        res.writeHead(status, {
          ...(requestId !== undefined && { 'x-request-id': requestId }),
          'content-length': Buffer.byteLength(body),
          ...headers,
        });
        res.end(body);
      };
      if (req.url === '/health') return answer(200, '', { 'x-instance-id': id });
      const expected = req.headers['x-expect-instance'];
      if (expected !== undefined && expected !== id)
        return answer(421, '', { 'x-not-executed': '1' });
      const run = {
        engine: id,
        id: requestId,
        method: req.method,
        path: req.url,
        body: Buffer.concat(chunks).toString('latin1'),
        tenant: req.headers['x-tenant'],
        atMs: performance.now(),
      };
      onRun(run);
      setTimeout(
        () =>
          answer(200, answerOf(run) ?? `answer to ${requestId}`, {
            'x-server-stamp': `stamp.${id}`,
          }),
        workMs,
      );
    });
  });
  server.keepAliveTimeout = 20_000;
  await new Promise((resolve) => server.listen(0, host, resolve));
  return {
    id,
    address: `${host}:${server.address().port}`,
    close() {
      server.closeAllConnections();
      server.close();
    },
  };
}
