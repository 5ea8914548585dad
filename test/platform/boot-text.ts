/** Writes boot files of the platform for tests. */

const DEFAULT_FIELDS: Readonly<Record<string, string>> = {
  'node-name': '"front-a-1"',
  ip: '"127.0.0.1"',
  zone: '"a"',
  'internal-port-range': '[7340, 7355]',
  'seed-nodes': '["127.0.0.1:8229"]',
  front: '"127.0.0.1:8227"',
  ready: '"127.0.0.1:8220"',
  'revoke-ms': '5000',
  'fail-closed': 'true',
  'config-apply-ms': '2000',
  'grace-s': '8',
  'retry-budget-ratio': '0.2',
  'budget-window-s': '10',
  'retry-budget-extra': '90',
  stall_ms: '1500',
  address: '"127.0.0.1:8223"',
};

const TOP_LEVEL_FIELDS = ['node-name', 'ip', 'zone', 'internal-port-range', 'seed-nodes', 'app'];
const LISTEN_FIELDS = ['front', 'ready', 'control'];
const LIMITS_FIELDS = ['memory-mb', 'max-fds'];
const BOUNDS_FIELDS = [
  'revoke-ms',
  'fail-closed',
  'config-apply-ms',
  'grace-s',
  'retry-budget-ratio',
  'budget-window-s',
  'retry-budget-extra',
  'stall_ms',
];

/**
 * The text of a valid boot file. Values of `overrides` are TOML; a field without a default, such as
 * `app`, is left out unless it is given.
 * @example bootText({ zone: '"b"' })
 */
export function bootText(overrides: Readonly<Record<string, string>> = {}): string {
  const fields = { ...DEFAULT_FIELDS, ...overrides };
  const formatFields = (names: readonly string[]): string[] =>
    names.filter((name) => fields[name] !== undefined).map((name) => `${name} = ${fields[name]}`);
  const hasLimits = LIMITS_FIELDS.some((name) => fields[name] !== undefined);
  return [
    ...formatFields(TOP_LEVEL_FIELDS),
    '[listen]',
    ...formatFields(LISTEN_FIELDS),
    ...(hasLimits ? ['[limits]', ...formatFields(LIMITS_FIELDS)] : []),
    '[bounds]',
    ...formatFields(BOUNDS_FIELDS),
    '[platform]',
    ...formatFields(['address']),
    '',
  ].join('\n');
}
