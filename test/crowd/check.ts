/** Checks a process against a crowd: it lives, stays within its machine, and answers an ordinary request afterwards. */
import assert from 'node:assert/strict';
import { setTimeout as wait } from 'node:timers/promises';
import { openCrowd, type Crowd } from './crowd.js';
import type { Machine, RunningProgram } from './machine.js';

/** A process that a crowd meets. */
export interface Target {
  readonly host: string;
  readonly machine: Machine;
  readonly program: RunningProgram;
  /** Sends one ordinary request; resolves to whether it was answered. */
  readonly ask: () => Promise<boolean>;
}

/** How often an ordinary client tries, and its pause between two tries, ms. */
const TRIES = 20;
const RETRY_MS = 500;
/** Time between the last bytes of a crowd and the ordinary request, ms. */
const PAUSE_MS = 500;

/** Whether an ordinary request is answered, first or after retries. */
async function isAnswered({ ask, program }: Target): Promise<boolean> {
  for (let i = 0; i < TRIES && program.ended() === undefined; i += 1) {
    if (await ask()) return true;
    await wait(RETRY_MS);
  }
  return false;
}

/** Everything that a crowd must not do to a process, as far as it was done. */
function faultsOf({ program, machine }: Target, unanswered: readonly string[]): string[] {
  const { memoryMb, descriptors } = program.taken();
  const end = program.ended();
  return [
    end === undefined ? '' : `the process ended: ${end}`,
    memoryMb <= machine.memoryMb ? '' : `${memoryMb} MB of memory, ${machine.memoryMb} are allowed`,
    descriptors <= machine.descriptors - SPARE_DESCRIPTORS
      ? ''
      : `${descriptors} descriptors, ${machine.descriptors - SPARE_DESCRIPTORS} are allowed`,
    ...unanswered.map((when) => `an ordinary request ${when} was not answered`),
  ].filter((fault) => fault !== '');
}

/** Descriptors that must stay free, so that a process can still call and be called by others. */
const SPARE_DESCRIPTORS = 20;

/**
 * Has a process meet crowds, one behind the other, each of which stays until the last has left.
 * @example await checkCrowds(target, 8227, [{ connections: 20, bytes }]);
 */
export async function checkCrowds(
  target: Target,
  port: number,
  crowds: readonly Crowd[],
  note: (text: string) => void = () => undefined,
): Promise<void> {
  assert.ok(await isAnswered(target), 'an ordinary request before the crowd was not answered');
  const unanswered: string[] = [];
  const open = [];
  for (const crowd of crowds) {
    const opened = openCrowd(target.host, port, crowd);
    open.push(opened);
    await opened.sent;
    await wait(crowd.staysMs ?? 0);
  }
  await wait(PAUSE_MS);
  if (!(await isAnswered(target))) unanswered.push('while the crowd stays');
  for (const crowd of open) crowd.leave();
  await wait(PAUSE_MS);
  if (!(await isAnswered(target))) unanswered.push('after the crowd has left');
  const { memoryMb, descriptors } = target.program.taken();
  const seen = open.map((crowd) => crowd.seen()).join('; ');
  note(`${memoryMb} MB, ${descriptors} descriptors; the crowd saw ${seen}`);
  const faults = faultsOf(target, unanswered);
  assert.deepEqual(faults, [], `${target.program.output()}\nthe crowd saw ${seen}`);
}
