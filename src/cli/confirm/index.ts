/** `harrierglade confirm`: emits the document to publish for a plan that is still valid. */
import { writeFileSync } from 'node:fs';
import { changedParts, confirmPlan, type EventPlan } from '../../core/events/index.js';
import { CommandError, EXIT_CODE, print, readJsonFile, readConfiguration } from '../shared/io.js';

function isPlan(data: unknown): data is EventPlan {
  const plan = data as Partial<EventPlan> | null;
  return typeof plan?.base?.version === 'number' && typeof plan.event?.startMs === 'number';
}

/** Writes the document to `options.out` or standard output, and its changes to standard error. */
export async function confirm(
  file: string,
  options: { platform: string; daemon?: string; out?: string },
): Promise<void> {
  const plan = readJsonFile(file);
  if (!isPlan(plan))
    throw new CommandError(
      `${file} is not a plan: make one with harrierglade plan --out ${file}.`,
      EXIT_CODE.usage,
    );
  const { doc, newestVersion: newest } = await readConfiguration(options.platform, options.daemon);
  const publication = confirmPlan(plan, doc, newest, Date.now());
  if (publication.err)
    throw new CommandError(`${file}: ${publication.val.message}`, EXIT_CODE.refused);
  const text = `${JSON.stringify(publication.val, null, 2)}\n`;
  process.stderr.write(
    `changes against version ${doc.version}: ${changedParts(doc.body, publication.val.body).join(', ') || 'none'}; publish with basedOn ${newest}\n`,
  );
  if (options.out) writeFileSync(options.out, text);
  else print(text);
}
