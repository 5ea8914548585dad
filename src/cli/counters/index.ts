/** `harrierglade counters`: prints the counters of one daemon. */
import { fetchJson, operatorsUrl, print } from '../shared/io.js';

/** Prints the counters whose names contain `options.match`, sorted by name. */
export async function counters(
  address: string,
  options: { match: string; json?: boolean },
): Promise<void> {
  const all = (await fetchJson(`${operatorsUrl(address)}/counters`)) as Record<string, number>;
  const matching = Object.entries(all).filter(([name]) => name.includes(options.match));
  if (options.json) return print(JSON.stringify(Object.fromEntries(matching)));
  for (const [name, value] of matching.sort()) print(`${name} ${value}`);
}
