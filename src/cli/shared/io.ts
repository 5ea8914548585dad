/** Input and output shared by the commands. */
import { readFileSync } from 'node:fs';
import { checkDocument } from '../../core/config-feed/index.js';
import { errorText, notRun } from '../../core/errors/index.js';
import type { ConfigurationDocument } from '../../generated/configuration.types.js';
import { ConnectionPools } from '../../runtime/connection-pools.js';

/** Exit codes of every command. */
export const EXIT_CODE = { ok: 0, refused: 1, usage: 2, unreachable: 3 } as const;

const HTTP_OK = 200;

/** Ends a command with a message on standard error and an exit code. */
export class CommandError extends Error {
  constructor(
    message: string,
    readonly exitCode: number,
  ) {
    super(message);
  }
}

/** Writes a text to standard output, ended by a newline. */
export function print(text: string): void {
  process.stdout.write(text.endsWith('\n') ? text : `${text}\n`);
}

/** Reads a JSON file; throws a `CommandError` if it cannot be read or parsed. */
export function readJsonFile(path: string): unknown {
  try {
    return JSON.parse(readFileSync(path, 'utf8'));
  } catch (err) {
    throw new CommandError(
      `${path}: ${errorText(err)}. Give the path of a readable JSON file.`,
      EXIT_CODE.usage,
    );
  }
}

/** Limits of a response to a command: a document with thousands of organisations takes 0.5 MB. */
const FETCH_LIMITS = { call: 'command', maxBytes: 64 * 1024 * 1024, maxMs: 30_000 };

/** Fetches a JSON document; throws a `CommandError` with the server's message if it is refused. */
export async function fetchJson(url: string): Promise<unknown> {
  const connections = new ConnectionPools({});
  try {
    const { origin, pathname, search } = new URL(url);
    const call = { origin, path: pathname + search, method: 'GET' as const, limits: FETCH_LIMITS };
    const { status, text } = await connections.call(call);
    const data = JSON.parse(text) as unknown;
    if (status === HTTP_OK) return data;
    const message = (data as { error?: string }).error ?? `status ${status}`;
    throw new CommandError(message, EXIT_CODE.refused);
  } catch (err) {
    if (err instanceof CommandError) throw err;
    throw new CommandError(
      `${url}: ${errorText(err)}. Check the address and whether the service is running.`,
      EXIT_CODE.unreachable,
    );
  } finally {
    connections.destroy();
  }
}

/** Base URL of the operators' address of a daemon. */
export function operatorsUrl(address: string): string {
  return address.startsWith('http://') ? address : `http://${address}`;
}

/** The configuration in force, and the newest version. */
export interface ConfigurationState {
  /** Newest version on the platform, which may have been refused. */
  readonly newestVersion: number;
  /** Document in force. */
  readonly doc: ConfigurationDocument;
}

/**
 * Reads the newest document from the platform. If that one is refused, reads the document in force
 * from a daemon.
 */
export async function readConfiguration(
  platform: string,
  daemon: string | undefined,
): Promise<ConfigurationState> {
  const data = await fetchJson(`${platform}/configuration?above=0&wait=0`);
  const newest = Number((data as { version?: unknown }).version);
  const checked = checkDocument(data);
  if (checked.ok) return { newestVersion: newest, doc: checked.val };
  if (!daemon) {
    const remedy =
      "Pass --daemon HOST:PORT (a daemon's operators' address) to read the version in force.";
    throw new CommandError(
      `The platform's version ${newest} is refused: ${checked.val.message} ${remedy}`,
      EXIT_CODE.refused,
    );
  }
  const daemonDocument = await fetchJson(`${operatorsUrl(daemon)}/configuration`);
  const inForce = checkDocument(daemonDocument);
  if (inForce.err) throw new CommandError(notRun('no-config').message, EXIT_CODE.refused);
  return { newestVersion: newest, doc: inForce.val };
}
