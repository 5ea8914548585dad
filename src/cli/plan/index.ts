/** `harrierglade plan`: makes a plan from an intent and the configuration in force. */
import { writeFileSync } from 'node:fs';
import { planEvent, renderPlan } from '../../core/events/index.js';
import { CommandError, EXIT_CODE, print, readJsonFile, readConfiguration } from '../shared/io.js';

/** Prints the plan, and writes it to `options.out` for `confirm`. */
export async function plan(
  file: string,
  options: { platform: string; daemon?: string; out?: string; json?: boolean },
): Promise<void> {
  const intent = readJsonFile(file);
  const { doc } = await readConfiguration(options.platform, options.daemon);
  const planned = planEvent(intent, doc, Date.now());
  if (planned.err) throw new CommandError(`${file}: ${planned.val.message}`, EXIT_CODE.refused);
  if (options.out) writeFileSync(options.out, `${JSON.stringify(planned.val, null, 2)}\n`);
  print(options.json ? JSON.stringify(planned.val) : renderPlan(planned.val));
}
