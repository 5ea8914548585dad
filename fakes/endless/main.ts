/**
 * Serves endless responses as a process of its own: in the reader's process a flood would share the event
 * loop with its reader. Messages from the parent set what is served.
 */
import { createServer, type AddressInfo, type Socket } from 'node:net';
import { ENDLESS_RESPONSES, type EndlessMode, type EndlessPace } from './modes.js';

/** What the parent can set. */
export interface EndlessOrder {
  /** The endless response, or the body of a sound one. */
  readonly mode?: EndlessMode;
  readonly pace?: EndlessPace;
  readonly sound?: string;
}

/** What the parent is told. */
export interface EndlessReport {
  readonly port?: number;
  /** Connections that carry an endless response now. */
  readonly open?: number;
  readonly isSet?: boolean;
}

/** Pause between two bytes, ms. */
const BYTE_PAUSE_MS = 5;
const HEAD_END = '\r\n\r\n';

let order: EndlessOrder = { sound: '{}' };
let open = 0;

function tell(report: EndlessReport): void {
  process.send?.(report);
}

function sendFast(socket: Socket, start: string, repeated: string): void {
  const bytes = Buffer.from(repeated.repeat(Math.ceil(65_536 / repeated.length)));
  const pump = (): void => {
    while (!socket.destroyed && socket.write(bytes));
  };
  socket.on('drain', pump);
  socket.write(start);
  pump();
}

function sendBytes(socket: Socket, start: string, repeated: string): void {
  socket.setNoDelay(true);
  const length = start.length + repeated.length;
  let at = 0;
  const timer = setInterval(() => {
    socket.write(at < start.length ? start.charAt(at) : repeated.charAt(at - start.length));
    at = at + 1 < length ? at + 1 : start.length;
  }, BYTE_PAUSE_MS);
  socket.on('close', () => clearInterval(timer));
}

function sendEndless(socket: Socket, mode: EndlessMode): void {
  open += 1;
  tell({ open });
  socket.on('close', () => {
    open -= 1;
    tell({ open });
  });
  const { start, repeated } = ENDLESS_RESPONSES[mode];
  (order.pace === 'byte' ? sendBytes : sendFast)(socket, start, repeated);
}

function respond(socket: Socket): void {
  if (order.mode) return sendEndless(socket, order.mode);
  const body = order.sound ?? '';
  socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`);
}

const server = createServer((socket) => {
  let text = '';
  let isEndless = false;
  socket.on('error', () => undefined);
  socket.on('data', (bytes) => {
    if (isEndless) return;
    text += bytes.toString('latin1');
    if (!text.includes(HEAD_END)) return;
    text = '';
    isEndless = order.mode !== undefined;
    respond(socket);
  });
});

process.on('message', (next: EndlessOrder) => {
  order = next;
  tell({ isSet: true });
});
process.on('disconnect', () => process.exit(0));
server.listen(0, '127.0.0.1', () => tell({ port: (server.address() as AddressInfo).port }));
