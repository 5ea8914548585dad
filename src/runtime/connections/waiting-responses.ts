/** Closes responses that wait behind another one on their connection when that connection closes. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/**
 * Responses to requests that were sent before the response to an earlier one on the connection. Node emits `close`
 * only on the response in front; what the others hold would never be freed.
 */
export class WaitingResponses {
  private readonly bySocket = new WeakMap<Socket, Set<ServerResponse>>();

  /**
   * Watches a response that has no connection of its own yet.
   * @example createServer((req, res) => waiting.add(req, res));
   */
  add({ socket }: IncomingMessage, res: ServerResponse): void {
    if (res.socket) return;
    const responses = this.responsesOf(socket);
    responses.add(res);
    res.once('close', () => responses.delete(res));
  }

  private responsesOf(socket: Socket): Set<ServerResponse> {
    const known = this.bySocket.get(socket);
    if (known) return known;
    const created = new Set<ServerResponse>();
    this.bySocket.set(socket, created);
    socket.once('close', () => [...created].forEach(closeWaiting));
    return created;
  }
}

function closeWaiting(res: ServerResponse): void {
  // Node closes a response that has got the connection.
  if (res.socket) return;
  res.destroy();
  res.emit('close');
}
