/**
 * `npm run rate-limits -- [SEEDS] [FIRST SEED] [SIZES]`: simulates how 7, 42 and 100 entries keep and
 * use rate limits; exits 1 if a simulation exceeds the bound.
 */
import { casesFor } from './cases.js';
import { createEntry } from './entry.js';
import { simulateFleet } from './fleet.js';

const SIZES = process.argv[4]?.split(',').map(Number) ?? [7, 42, 100];
const LIMITS_PER_S = [0.2, 1, 4];
const [seeds = 3, firstSeed = 1] = process.argv.slice(2, 4).map(Number);

let violations = 0;
for (const entries of SIZES)
  for (const limitPerS of LIMITS_PER_S)
    for (const [name, scenario] of Object.entries(casesFor(entries, limitPerS))) {
      let maxInWindow = 0;
      let runsOverBound = 0;
      let utilisation = 0;
      let relayCallsPerS = 0;
      for (let seed = firstSeed; seed < firstSeed + seeds; seed += 1) {
        const result = await simulateFleet({ ...scenario, seed, entries }, createEntry);
        maxInWindow = Math.max(maxInWindow, result.maxInWindow);
        utilisation += result.utilisation / seeds;
        relayCallsPerS = Math.max(relayCallsPerS, result.busiestRelayCallsPerS);
        if (result.excess > 0) runsOverBound += 1;
      }
      violations += runsOverBound;
      const verdict = runsOverBound > 0 ? `EXCEEDED in ${runsOverBound} of ${seeds}` : 'kept';
      process.stdout.write(
        `${entries} entries, ${limitPerS}/s, ${name}: ${verdict}, at most ${maxInWindow} in 4 s, ${utilisation.toFixed(2)} used, ${relayCallsPerS.toFixed(1)} calls/s at the busiest relay\n`,
      );
    }
process.stdout.write(`${violations} simulations over the bound\n`);
process.exit(violations > 0 ? 1 : 0);
