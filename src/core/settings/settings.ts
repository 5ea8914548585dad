/** Reads and validates settings. Each error gives the path, the invalid value and how to fix it. */
import { readFileSync } from 'node:fs';
import type { ErrorObject } from 'ajv';
import { Err, Ok, type Result } from '../result/index.js';
import type { Settings } from '../../generated/settings.types.js';
import validateSettings from '../../generated/settings.validator.js';
import { errorText, HarriergladeError, notRun } from '../errors/index.js';
import { nearestName } from './nearest-name.js';

type Complete<T> = { [K in keyof T]-?: NonNullable<T[K]> };
/** Settings with every default filled in. */
export type FullSettings = Omit<Settings, 'limits' | 'timing' | 'peers' | 'logLevel'> & {
  limits: Complete<NonNullable<Settings['limits']>>;
  timing: Complete<NonNullable<Settings['timing']>>;
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

function describeError(err: ErrorObject, data: unknown): string {
  const params = err.params as Record<string, unknown>;
  if (err.keyword === 'additionalProperties') {
    const unknownKey = String(params['additionalProperty']);
    const schema = err.parentSchema as { properties?: object } | undefined;
    const suggestion = nearestName(unknownKey, Object.keys(schema?.properties ?? {}));
    return `unknown key "${unknownKey}"${suggestion ? `; did you mean "${suggestion}"?` : '; remove it'}`;
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
 * Runs a generated validator and describes every error.
 * @example validationErrors(validate, { role: 'entri' }, knownKeys) // ['/role: value "entri"; use one of entry, agent']
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
    return `${path}: ${describeError({ ...err, parentSchema: { properties } }, data)}`;
  });
}

/** Returns the keys that the schema allows at one path of the data. */
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
  '/limits': [
    'headerBytes',
    'bodyBytes',
    'bodyMs',
    'memoryMb',
    'descriptors',
    'admissionLevel',
    'streamsPerOrganisation',
    'defaultDeadlineMs',
  ],
  '/timing': ['watchMs', 'fallbackMs', 'pauseMs', 'drainMs', 'startMs', 'groupMs'],
};

function roleErrors(settings: Settings): string[] {
  if (settings.role === 'entry' && !settings.listen.callers) {
    return ['/listen: key "callers" is missing; an entry needs an address for callers'];
  }
  if (settings.role === 'agent' && !settings.endpoint) {
    return ['/: key "endpoint" is missing; an agent needs the endpoint that it serves'];
  }
  return [];
}

/**
 * Validates parsed settings and fills in the defaults.
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
  const errors = validationErrors(validateSettings, filled, (path) => SETTINGS_KEYS[path] ?? []);
  if (errors.length === 0) errors.push(...roleErrors(filled as unknown as Settings));
  if (errors.length > 0) return Err(notRun('settings-invalid', `${errors.join('; ')}.`));
  return Ok(filled as unknown as FullSettings);
}

/**
 * Reads and validates a settings file.
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
