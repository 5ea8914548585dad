/** Starts and steers a process that sends endless responses. */
import { fork } from 'node:child_process';
import { join } from 'node:path';
import type { EndlessOrder, EndlessReport } from './main.js';

/** A running process that sends endless responses. */
export interface EndlessServer {
  readonly origin: string;
  /** Connections that carry an endless response now. */
  readonly open: number;
  /** Sets what is sent from the next request on. */
  set(order: EndlessOrder): Promise<void>;
  close(): void;
}

/**
 * Starts the process; it first sends sound responses.
 * @example const server = await startEndlessServer(); await server.set({ mode: 'head', pace: 'fast' });
 */
export async function startEndlessServer(): Promise<EndlessServer> {
  const child = fork(join(import.meta.dirname, 'main.js'));
  let open = 0;
  const nextReport = (matches: (report: EndlessReport) => boolean): Promise<EndlessReport> =>
    new Promise((resolve, reject) => {
      const onExit = (): void => reject(new Error('the endless server has ended'));
      const onMessage = (report: EndlessReport): void => {
        if (!matches(report)) return;
        child.off('message', onMessage).off('exit', onExit);
        resolve(report);
      };
      child.on('message', onMessage).once('exit', onExit);
    });
  child.on('message', (report: EndlessReport) => {
    open = report.open ?? open;
  });
  const { port } = await nextReport((report) => report.port !== undefined);
  return {
    origin: `http://127.0.0.1:${port}`,
    get open() {
      return open;
    },
    set: async (order) => {
      const isSet = nextReport((report) => report.isSet === true);
      child.send(order);
      await isSet;
    },
    close: () => void child.kill(),
  };
}
