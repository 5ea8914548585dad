/** Read-only client of the platform's configuration service. */
import type { PlatformClient } from '../core/config-feed/index.js';
import { MAX_RPC_MESSAGE_BYTES } from '../rpc/consts.js';
import type { ConnectionPools } from '../runtime/index.js';

/** Paths of the configuration document and the instance list. */
export const PLATFORM_PATHS = { config: '/configuration', list: '/instances' } as const;
/** Time allowed beyond the wait of a watch, ms. */
const TIMEOUT_MARGIN_MS = 2000;
const HTTP_OK = 200;
const HTTP_NOT_MODIFIED = 304;

/**
 * A client of the platform at one URL; a watch resolves to undefined when no newer version appears
 * within its wait.
 * @example const doc = await createPlatformClient(connections, url).watchConfig(0, 0, signal);
 */
export function createPlatformClient(connections: ConnectionPools, url: string): PlatformClient {
  const watchPath =
    (path: string) =>
    async (knownVersion: number, waitMs: number, signal: AbortSignal): Promise<unknown> => {
      const limits = {
        call: 'platform',
        maxBytes: MAX_RPC_MESSAGE_BYTES,
        maxMs: waitMs + TIMEOUT_MARGIN_MS,
      };
      const { status, text } = await connections.call({
        origin: url,
        path: `${path}?above=${knownVersion}&wait=${waitMs}`,
        method: 'GET',
        signal,
        limits,
      });
      if (status === HTTP_OK) return JSON.parse(text) as unknown;
      if (status === HTTP_NOT_MODIFIED) return undefined;
      throw new Error(`The platform responded with status ${status} to GET ${path}.`);
    };
  return {
    watchConfig: watchPath(PLATFORM_PATHS.config),
    watchList: watchPath(PLATFORM_PATHS.list),
  };
}
