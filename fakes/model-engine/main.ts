/** Runs the fake model engines as a process: takes the group's options as JSON, prints the URLs. */
import { FakeGroup } from './group.js';
import type { GroupOptions } from './types.js';

const group = await FakeGroup.start(JSON.parse(process.argv[2] ?? '{}') as Partial<GroupOptions>);
process.stdout.write(`${JSON.stringify({ urls: group.urls })}\n`);
