import { parentPort } from 'node:worker_threads';

import { deployments } from './deployment.js';
import type { RunJob } from './run-pool.js';
import { scenarios } from './scenario.js';
import { Simulation } from './simulation.js';
import { ablationVariants, policyVariants } from './variant.js';

/** Runs one simulation after the other, as the pool asks. */
parentPort?.on('message', (job: RunJob) => {
  const deployment = deployments.find(({ name }) => name === job.deployment);
  const scenario = scenarios.find(({ name }) => name === job.scenario);
  const variant = [...policyVariants, ...ablationVariants].find(({ name }) => name === job.variant);
  if (deployment === undefined || scenario === undefined || variant === undefined) {
    throw new Error(`unknown run: ${JSON.stringify(job)}`);
  }
  parentPort?.postMessage(new Simulation(deployment, scenario, variant, job.seed).run());
});
