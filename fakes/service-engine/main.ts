/** Runs the fake service as a process: prints its URL and serves until it is terminated. */
import { FakeService } from './service.js';

const service = await FakeService.start(Number(process.argv[2] ?? 5));
process.stdout.write(`${JSON.stringify({ url: service.url })}\n`);
