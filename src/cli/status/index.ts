/** `harrierglade status`: prints the state of daemons and whether their configurations agree. */
import type { DaemonStatus } from '../../daemon/operators.js';
import { CommandError, EXIT_CODE, fetchJson, operatorsUrl, print } from '../shared/io.js';

function formatStatus(s: DaemonStatus): string {
  const state = s.leaving ? 'leaving' : s.ready ? 'ready' : 'not ready';
  return `${s.instance.padEnd(28)}${s.role.padEnd(7)}${s.dataCentre.padEnd(10)}${state.padEnd(10)}config ${s.config}  list ${s.list}  running ${s.running}`;
}

/** Prints one line per daemon and each refused document; fails if configurations differ. */
export async function status(addresses: string[], options: { json?: boolean }): Promise<void> {
  const all = (await Promise.all(
    addresses.map((a) => fetchJson(`${operatorsUrl(a)}/status`)),
  )) as DaemonStatus[];
  if (options.json) return print(JSON.stringify(all));
  for (const s of all) print(formatStatus(s));
  const refused = new Map(
    all.flatMap((s) => s.refusedDocuments.map((r) => [r.version, r] as const)),
  );
  for (const r of refused.values()) print(`refused version ${r.version}: ${r.reason}: ${r.detail}`);
  const configurations = new Set(all.map((s) => `${s.config} ${s.digest}`));
  if (configurations.size > 1)
    throw new CommandError(
      `The daemons have ${configurations.size} different configurations; they converge within seconds if they can reach each other.`,
      EXIT_CODE.refused,
    );
}
