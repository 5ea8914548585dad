/** Runs the fake platform as a process: prints its URL and serves until it is terminated. */
import { FakePlatform } from './platform.js';

const lagMs = Number(process.argv[2] ?? 0);
const platform = await FakePlatform.start(lagMs);
process.stdout.write(`${JSON.stringify({ url: platform.url })}\n`);
