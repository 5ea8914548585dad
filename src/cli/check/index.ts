/** `harrierglade check`: reports the errors in a settings, configuration or intent file. */
import { bodyDigest, EMPTY_BODY, checkDocument } from '../../core/config-feed/index.js';
import { planEvent } from '../../core/events/index.js';
import { checkSettings, nearestName } from '../../core/settings/index.js';
import type { ConfigurationDocument } from '../../generated/configuration.types.js';
import { CommandError, EXIT_CODE, print, readJsonFile } from '../shared/io.js';

const FILE_KINDS = ['settings', 'configuration', 'intent'];

/** Wraps a bare body in a document of version 1, so that it can be validated. */
function toDocument(data: unknown): unknown {
  if (typeof data === 'object' && data !== null && 'body' in data && 'version' in data) return data;
  const body = typeof data === 'object' && data !== null && 'body' in data ? data.body : data;
  return { version: 1, basedOn: 0, digest: bodyDigest(body), body };
}

function checkConfiguration(data: unknown): string | undefined {
  const checked = checkDocument(toDocument(data));
  return checked.err ? checked.val.message : undefined;
}

const EMPTY_DOCUMENT: ConfigurationDocument = {
  version: 1,
  basedOn: 0,
  digest: '',
  body: EMPTY_BODY,
};

function validate(kind: string, data: unknown): string | undefined {
  if (kind === 'settings') {
    const settings = checkSettings(data);
    return settings.err ? settings.val.message : undefined;
  }
  if (kind === 'configuration') return checkConfiguration(data);
  // Without a published configuration only the schema of an intent can be checked.
  const plan = planEvent(data, EMPTY_DOCUMENT, 0);
  return plan.err && /^\//.test(plan.val.detail) ? plan.val.message : undefined;
}

/** Validates the file; throws a `CommandError` with the errors found. */
export function check(file: string, options: { kind: string }): void {
  if (!FILE_KINDS.includes(options.kind)) {
    const nearest = nearestName(options.kind, FILE_KINDS);
    throw new CommandError(
      `--kind ${options.kind}: use one of ${FILE_KINDS.join(', ')}${nearest ? `; did you mean ${nearest}?` : '.'}`,
      EXIT_CODE.usage,
    );
  }
  const problem = validate(options.kind, readJsonFile(file));
  if (problem) throw new CommandError(`${file}: ${problem}`, EXIT_CODE.refused);
  print(`${file}: valid`);
}
