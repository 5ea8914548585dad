/** `harrierglade explain`: prints why a request was routed to its endpoint or refused. */
import type { Decision } from '../../caller-api/decisions.js';
import { formatLine } from '../../core/logging/index.js';
import { fetchJson, operatorsUrl, print } from '../shared/io.js';

/** Prints the routing decision of one request, or those of the latest requests without an ID. */
export async function explain(
  address: string,
  id: string | undefined,
  options: { json?: boolean },
): Promise<void> {
  const query = id ? `?id=${encodeURIComponent(id)}` : '';
  const data = (await fetchJson(`${operatorsUrl(address)}/explain${query}`)) as
    Decision | Decision[];
  if (options.json) return print(JSON.stringify(data));
  for (const note of [data].flat()) print(formatLine(note));
}
