/** Binds a server to its address. */
import type { Server } from 'node:http';

/**
 * Resolves once the server listens; rejects if it cannot bind the address.
 * @example await listen(server, { host: '10.1.0.40', port: 8227 });
 */
export function listen(server: Server, address: { host: string; port: number }): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(address.port, address.host, resolve);
  });
}
