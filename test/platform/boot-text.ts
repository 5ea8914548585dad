/** A boot file of the platform, with single fields replaced. */

const FIELDS: Readonly<Record<string, string>> = {
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

const TOP = ['node-name', 'ip', 'zone', 'internal-port-range', 'seed-nodes', 'app'];
const LISTEN = ['front', 'ready'];
const BOUNDS = [
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
 * The text of a boot file; values are TOML.
 * @example bootText({ zone: '"b"' })
 */
export function bootText(change: Readonly<Record<string, string>> = {}): string {
  const all = { ...FIELDS, ...change };
  const lines = (names: readonly string[]): string[] =>
    names.filter((name) => all[name] !== undefined).map((name) => `${name} = ${all[name]}`);
  return [
    ...lines(TOP),
    '[listen]',
    ...lines(LISTEN),
    '[bounds]',
    ...lines(BOUNDS),
    '[platform]',
    ...lines(['address']),
    '',
  ].join('\n');
}
