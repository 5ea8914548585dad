/** Input and output that the commands share. */
import { readFileSync } from 'node:fs';
import { request } from 'undici';
import { judgeDocument } from '../../core/config-feed/index.js';
import { errorText, notRun } from '../../core/errors/index.js';
import type { ConfigurationDocument } from '../../generated/configuration.types.js';

/** Exit codes of every command. */
export const EXIT = { ok: 0, refused: 1, usage: 2, unreachable: 3 } as const;

/** Ends a command with a message and a code. */
export class CommandError extends Error {
  constructor(
    message: string,
    readonly exitCode: number,
  ) {
    super(message);
  }
}

/** Prints text for a person. */
export function print(text: string): void {
  process.stdout.write(text.endsWith('\n') ? text : `${text}\n`);
}

/** Reads a JSON file or ends the command. */
export function readJsonFile(path: string): unknown {
  try {
    return JSON.parse(readFileSync(path, 'utf8'));
  } catch (err) {
    throw new CommandError(`${path}: ${errorText(err)}. Name a readable JSON file.`, EXIT.usage);
  }
}

/** GET of a JSON document or ends the command. */
export async function fetchJson(url: string): Promise<unknown> {
  try {
    const res = await request(url, { headersTimeout: 5000, bodyTimeout: 5000 });
    const data = await res.body.json();
    if (res.statusCode === 200) return data;
    const said = (data as { error?: string }).error ?? `status ${res.statusCode}`;
    throw new CommandError(said, EXIT.refused);
  } catch (err) {
    if (err instanceof CommandError) throw err;
    throw new CommandError(
      `${url}: ${errorText(err)}. Check the address and that the service runs.`,
      EXIT.unreachable,
    );
  }
}

/** Base URL of a daemon's operators' address. */
export function operatorsUrl(address: string): string {
  return address.startsWith('http://') ? address : `http://${address}`;
}

/** The published state as an operator's command needs it. */
export interface Published {
  /** Newest version at the platform, in force or refused. */
  readonly newest: number;
  /** The document in force. */
  readonly doc: ConfigurationDocument;
}

/** Reads the newest version from the platform; the document in force from a daemon where that one is refused. */
export async function readPublished(
  platform: string,
  daemon: string | undefined,
): Promise<Published> {
  const data = await fetchJson(`${platform}/configuration?above=0&wait=0`);
  const newest = Number((data as { version?: unknown }).version);
  const verdict = judgeDocument(data);
  if (verdict.ok) return { newest, doc: verdict.val };
  if (!daemon) {
    const remedy =
      "Name a daemon with --daemon HOST:PORT (its operators' address), to read the version in force.";
    throw new CommandError(
      `The platform's version ${newest} is refused: ${verdict.val.message} ${remedy}`,
      EXIT.refused,
    );
  }
  const held = await fetchJson(`${operatorsUrl(daemon)}/configuration`);
  const inForce = judgeDocument(held);
  if (inForce.err) throw new CommandError(notRun('no-config').message, EXIT.refused);
  return { newest, doc: inForce.val };
}
