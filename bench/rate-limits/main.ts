/** `npm run rate-limits -- [SEEDS] [FIRST SEED] [SIZES]`: how rate limits are kept and used by 7, 42 and 100 entries. */
import { casesFor } from './cases.js';
import { makeEntry } from './entry.js';
import { playFleet } from './fleet.js';

const SIZES = process.argv[4]?.split(',').map(Number) ?? [7, 42, 100];
const LIMITS_PER_S = [0.2, 1, 4];
const [seeds = 3, firstSeed = 1] = process.argv.slice(2, 4).map(Number);

let broken = 0;
for (const entries of SIZES)
  for (const limitPerS of LIMITS_PER_S)
    for (const [name, of] of Object.entries(casesFor(entries, limitPerS))) {
      let most = 0;
      let over = 0;
      let used = 0;
      let calls = 0;
      for (let seed = firstSeed; seed < firstSeed + seeds; seed += 1) {
        const outcome = await playFleet({ ...of, seed, entries }, makeEntry);
        most = Math.max(most, outcome.most);
        used += outcome.used / seeds;
        calls = Math.max(calls, outcome.busiestCallsPerS);
        if (outcome.excess > 0) over += 1;
      }
      broken += over;
      const kept = over > 0 ? `BROKEN in ${over} of ${seeds}` : 'kept';
      process.stdout.write(
        `${entries} entries, ${limitPerS}/s, ${name}: ${kept}, most ${most} in 4 s, ${used.toFixed(2)} used, ${calls.toFixed(1)} calls/s at a relay\n`,
      );
    }
process.stdout.write(`${broken} plays over the bound\n`);
process.exit(broken > 0 ? 1 : 0);
