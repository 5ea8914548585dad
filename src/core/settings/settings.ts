/** Reads and checks settings; every fault is named with its path, the value seen and the remedy. */
import { readFileSync } from 'node:fs';
import type { ErrorObject } from 'ajv';
import { Err, Ok, type Result } from '../result/index.js';
import type { Settings } from '../../generated/settings.types.js';
import validateSettings from '../../generated/settings.validator.js';
import { errorText, HarriergladeError, notRun } from '../errors/index.js';
import { nearestName } from './nearest-name.js';

type Deep<T> = { [K in keyof T]-?: NonNullable<T[K]> };
/** Settings with every default filled in. */
export type FullSettings = Omit<Settings, 'limits' | 'timing' | 'peers' | 'logLevel'> & {
  limits: Deep<NonNullable<Settings['limits']>>;
  timing: Deep<NonNullable<Settings['timing']>>;
  peers: string[];
  logLevel: NonNullable<Settings['logLevel']>;
};

type Validator = ((data: unknown) => boolean) & { errors?: ErrorObject[] | null };

function valueAt(data: unknown, path: string): unknown {
  let value = data;
  for (const part of path.split('/').slice(1)) {
    value = (value as Record<string, unknown> | undefined)?.[part];
  }
  return value;
}

function remedyOf(err: ErrorObject, data: unknown): string {
  const params = err.params as Record<string, unknown>;
  if (err.keyword === 'additionalProperties') {
    const seen = String(params['additionalProperty']);
    const schema = err.parentSchema as { properties?: object } | undefined;
    const near = nearestName(seen, Object.keys(schema?.properties ?? {}));
    return `unknown key "${seen}"${near ? `; did you mean "${near}"?` : '; remove it'}`;
  }
  if (err.keyword === 'required')
    return `key "${String(params['missingProperty'])}" is missing; add it`;
  if (err.keyword === 'enum') {
    const allowed = (params['allowedValues'] as unknown[]).join(', ');
    return `value ${JSON.stringify(valueAt(data, err.instancePath))}; use one of ${allowed}`;
  }
  return `value ${JSON.stringify(valueAt(data, err.instancePath))?.slice(0, 80)} ${err.message}; correct it`;
}

/**
 * Runs a generated validator and lists every fault in words.
 * @example faultsOf(validate, { role: 'entri' }, knownKeys) // ['/role: value "entri"; use one of entry, agent']
 */
export function validationErrors(
  validate: Validator,
  data: unknown,
  knownKeys: KnownKeys,
): string[] {
  if (validate(data)) return [];
  return (validate.errors ?? []).map((err) => {
    const properties = Object.fromEntries(knownKeys(err.instancePath).map((k) => [k, true]));
    const path = err.instancePath || '/';
    return `${path}: ${remedyOf({ ...err, parentSchema: { properties } }, data)}`;
  });
}

/** Keys that the schema knows at one path of the data. */
export type KnownKeys = (path: string) => string[];

const SETTINGS_KEYS: Record<string, string[]> = {
  '': [
    'role',
    'instance',
    'dataCentre',
    'platform',
    'peers',
    'listen',
    'endpoint',
    'limits',
    'timing',
    'logLevel',
  ],
  '/platform': ['url'],
  '/listen': ['callers', 'daemons', 'operators'],
  '/endpoint': ['id', 'url', 'checksFences'],
  '/limits': ['headerBytes', 'bodyBytes', 'bodyMs', 'streamsPerOrganisation', 'defaultDeadlineMs'],
  '/timing': ['watchMs', 'fallbackMs', 'pauseMs', 'drainMs', 'startMs', 'groupMs'],
};

function roleFaults(settings: Settings): string[] {
  if (settings.role === 'entry' && !settings.listen.callers) {
    return ['/listen: key "callers" is missing; an entry needs an address for callers'];
  }
  if (settings.role === 'agent' && !settings.endpoint) {
    return ['/: key "endpoint" is missing; an agent needs the endpoint it stands before'];
  }
  return [];
}

/**
 * Checks settings that were read already, and fills in the defaults.
 * @example checkSettings({ role: 'entry' }).err // true: names each missing key
 */
export function checkSettings(data: unknown): Result<FullSettings, HarriergladeError> {
  if (typeof data !== 'object' || data === null || Array.isArray(data)) {
    return Err(
      notRun('settings-invalid', '/: not a JSON object; write the settings as one object.'),
    );
  }
  const filled: Record<string, unknown> = {
    limits: {},
    timing: {},
    peers: [],
    ...structuredClone(data),
  };
  const faults = validationErrors(validateSettings, filled, (path) => SETTINGS_KEYS[path] ?? []);
  if (faults.length === 0) faults.push(...roleFaults(filled as unknown as Settings));
  if (faults.length > 0) return Err(notRun('settings-invalid', `${faults.join('; ')}.`));
  return Ok(filled as unknown as FullSettings);
}

/**
 * Reads a settings file.
 * @example readSettings('examples/nyungwe/entry.json').ok
 */
export function readSettings(path: string): Result<FullSettings, HarriergladeError> {
  let data: unknown;
  try {
    data = JSON.parse(readFileSync(path, 'utf8'));
  } catch (err) {
    return Err(notRun('settings-unreadable', `${path}: ${errorText(err)}.`));
  }
  return checkSettings(data);
}
