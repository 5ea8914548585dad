/** `npm run capacity`: measures costs at several sizes and prints the tables in docs/CAPACITY.md. */
import { fitLine } from '../harness/index.js';
import { measureInProcess, switchBytes, type Slope } from './in-process.js';
import { measureFleet, measureRuntime, type DaemonCost, type FleetCost } from './processes.js';

const FITTED_SIZES = [4, 8, 16, 32];
const CHECK_SIZE = 24;

function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

function formatNumber(value: number): string {
  return Math.abs(value) >= 100 ? value.toFixed(0) : value.toPrecision(3);
}

function printSlope(s: Slope): void {
  const formattedPoints = s.points.map(([x, y]) => `${x}: ${formatNumber(y)}`).join(', ');
  const worst = Math.max(...s.fit.residuals.map(Math.abs));
  printLine(
    `  ${s.name}: ${formattedPoints} ${s.unit}; slope ${s.fit.slope.toExponential(2)} ${s.unit} per unit of size, base ${formatNumber(s.fit.intercept)}, worst residual ${formatNumber(worst)}`,
  );
}

function printFleet(f: FleetCost): void {
  const cell = (c: DaemonCost): string =>
    `${c.cpuPercent.toFixed(2)}% ${c.bytesPerSecond.toFixed(0)} B/s ${c.residentMb.toFixed(0)} MB`.padEnd(
      24,
    );
  printLine(
    `${String(f.daemons).padStart(7)}  ${cell(f.relay)}${cell(f.entry)}${cell(f.agent)}${cell(f.coordinator)}${f.platformCallsPerSecond.toFixed(2).padStart(8)}${String(f.platformCallsAtStart).padStart(8)}${String(f.changeMs).padStart(10)}`,
  );
}

const runtime = measureRuntime();
printLine(
  `runtime, resident: bare ${runtime.bareMb.toFixed(1)} MB, libraries loaded ${runtime.librariesMb.toFixed(1)} MB, with a small young generation ${runtime.smallHeapMb.toFixed(1)} MB`,
);
printLine('\nmemory, message sizes and CPU time in one process');
const slopes = measureInProcess();
slopes.forEach(printSlope);
printLine('\nmessages of a group');
const groups = [
  [4, 8],
  [12, 8],
  [32, 60],
].map(([ranks = 0, layers = 0]) => ({
  ranks,
  layers,
  experts: 64,
  ...switchBytes(ranks, layers, 64),
}));
for (const g of groups)
  printLine(
    `  ${g.ranks} ranks, ${g.layers} layers: promise reply ${g.promiseReply} B, prepare ${g.prepare} B, one round ${g.round} B, one switch ${g.change} B at the coordinator`,
  );
printLine(
  '\nidle daemons in one data centre, one group: CPU, bytes on all sockets, resident memory',
);
printLine(
  'daemons  relay                   entry                   agent                   coordinator             calls/s   start  change ms',
);
const fleets: FleetCost[] = [];
for (const n of FITTED_SIZES) {
  const fleet = await measureFleet(n);
  fleets.push(fleet);
  printFleet(fleet);
}
const check = await measureFleet(CHECK_SIZE);
printFleet(check);
const fits = (['relay', 'entry', 'agent', 'coordinator'] as const).flatMap((role) =>
  (['cpuPercent', 'bytesPerSecond'] as const).map((field) => {
    const fit = fitLine(
      fleets
        .filter((f) => Number.isFinite(f[role][field]))
        .map((f) => [f.daemons, f[role][field]] as const),
    );
    const predicted = fit.intercept + fit.slope * CHECK_SIZE;
    return {
      role,
      field,
      base: fit.intercept,
      slope: fit.slope,
      residuals: fit.residuals,
      predicted,
      measured: check[role][field],
    };
  }),
);
printLine(`\nfits over ${FITTED_SIZES.join(', ')} daemons, checked at ${CHECK_SIZE}`);
for (const f of fits) {
  printLine(
    `  ${f.role} ${f.field}: base ${formatNumber(f.base)}, slope ${f.slope.toExponential(2)} per daemon, residuals ${f.residuals.map(formatNumber).join(' ')}; at ${CHECK_SIZE} predicted ${formatNumber(f.predicted)}, measured ${formatNumber(f.measured)}`,
  );
}
printLine(JSON.stringify({ runtime, slopes, groups, fleets, check, fits }));
