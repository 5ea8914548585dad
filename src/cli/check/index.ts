/** `harrierglade check`: names every fault of a file. */
import { bodyDigest, EMPTY_BODY, judgeDocument } from '../../core/config-feed/index.js';
import { planEvent } from '../../core/events/index.js';
import { checkSettings, nearestName } from '../../core/settings/index.js';
import type { ConfigurationDocument } from '../../generated/configuration.types.js';
import { CommandError, EXIT, print, readJsonFile } from '../shared/io.js';

const KINDS = ['settings', 'configuration', 'intent'];

/** A bare body is judged as the first document of its own. */
function asDocument(data: unknown): unknown {
  if (typeof data === 'object' && data !== null && 'body' in data && 'version' in data) return data;
  const body = typeof data === 'object' && data !== null && 'body' in data ? data.body : data;
  return { version: 1, basedOn: 0, digest: bodyDigest(body), body };
}

function checkConfiguration(data: unknown): string | undefined {
  const verdict = judgeDocument(asDocument(data));
  return verdict.err ? verdict.val.message : undefined;
}

const EMPTY: ConfigurationDocument = { version: 1, basedOn: 0, digest: '', body: EMPTY_BODY };

function faultOf(kind: string, data: unknown): string | undefined {
  if (kind === 'settings') {
    const settings = checkSettings(data);
    return settings.err ? settings.val.message : undefined;
  }
  if (kind === 'configuration') return checkConfiguration(data);
  // Without the published state only the shape of an intent can be checked.
  const plan = planEvent(data, EMPTY, 0);
  return plan.err && /^\//.test(plan.val.facts) ? plan.val.message : undefined;
}

/** Runs the command. */
export function check(file: string, options: { kind: string }): void {
  if (!KINDS.includes(options.kind)) {
    const near = nearestName(options.kind, KINDS);
    throw new CommandError(
      `--kind ${options.kind}: use one of ${KINDS.join(', ')}${near ? `; did you mean ${near}?` : '.'}`,
      EXIT.usage,
    );
  }
  const fault = faultOf(options.kind, readJsonFile(file));
  if (fault) throw new CommandError(`${file}: ${fault}`, EXIT.refused);
  print(`${file}: good`);
}
