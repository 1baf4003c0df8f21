import { Worker } from 'node:worker_threads';

import type { RunCounts } from './run-result.js';

/** One simulation, by names. */
export interface RunJob {
  readonly deployment: string;
  readonly scenario: string;
  readonly variant: string;
  readonly seed: number;
}

/** Runs simulations in a few threads; the results do not depend on their number. */
export async function runJobs(
  jobs: readonly RunJob[],
  threads: number,
  done: (job: RunJob, result: RunCounts) => void,
): Promise<void> {
  const waiting = [...jobs];
  const work = async (): Promise<void> => {
    const worker = new Worker(new URL('./run-worker.js', import.meta.url));
    for (let job = waiting.shift(); job !== undefined; job = waiting.shift()) {
      done(job, await runJob(worker, job));
    }
    await worker.terminate();
  };
  await Promise.all(Array.from({ length: threads }, work));
}

function runJob(worker: Worker, job: RunJob): Promise<RunCounts> {
  return new Promise((resolve, reject) => {
    const fail = (error: unknown): void => {
      reject(error instanceof Error ? error : new Error(String(error)));
    };
    worker.once('error', fail);
    worker.once('message', (result: RunCounts) => {
      worker.off('error', fail);
      resolve(result);
    });
    worker.postMessage(job);
  });
}
