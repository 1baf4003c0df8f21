import { program } from 'commander';

import { deployments } from './deployment.js';
import { runJobs } from './run-pool.js';
import type { RunJob } from './run-pool.js';
import { RunResult } from './run-result.js';
import { scenarios } from './scenario.js';
import { renderTables } from './tables.js';
import { ablationVariants, policyVariants } from './variant.js';
import type { Variant } from './variant.js';

interface Options {
  readonly seed: string;
  readonly seeds: string;
  readonly threads: string;
  readonly only?: string;
  readonly variant?: string;
  readonly deployment?: string;
  readonly mechanisms: boolean;
  readonly policies: boolean;
}

async function printTables(
  title: string,
  variants: readonly Variant[],
  options: Options,
): Promise<void> {
  const results = new Map<string, Map<string, Map<string, RunResult>>>();
  const jobs = plan(variants, options);
  for (const { deployment, scenario, variant } of jobs) {
    const byScenario = results.get(deployment) ?? new Map<string, Map<string, RunResult>>();
    const byVariant = byScenario.get(scenario) ?? new Map<string, RunResult>();
    byVariant.set(variant, new RunResult());
    byScenario.set(scenario, byVariant);
    results.set(deployment, byScenario);
  }
  await runJobs(jobs, Number(options.threads), ({ deployment, scenario, variant }, result) => {
    results.get(deployment)?.get(scenario)?.get(variant)?.add(result);
  });
  console.log(`### ${title}\n`);
  for (const [deployment, table] of results) console.log(renderTables(deployment, table));
}

function plan(variants: readonly Variant[], options: Options): readonly RunJob[] {
  const first = Number(options.seed);
  const seeds = Array.from({ length: Number(options.seeds) }, (_, index) => first + index);
  const isWanted = (name: string, wanted: string | undefined): boolean =>
    wanted === undefined || name.includes(wanted);
  return deployments
    .filter(({ name }) => isWanted(name, options.deployment))
    .flatMap(({ name: deployment }) =>
      scenarios
        .filter(({ name }) => isWanted(name, options.only))
        .flatMap(({ name: scenario }) =>
          variants
            .filter(({ name }) => isWanted(name, options.variant))
            .flatMap(({ name: variant }) =>
              seeds.map((seed) => ({ deployment, scenario, seed, variant })),
            ),
        ),
    );
}

program
  .description('Measures selection policies in virtual time and prints Markdown tables')
  .option('--seed <number>', 'first seed', '1')
  .option('--seeds <number>', 'number of seeds that are counted together', '3')
  .option('--threads <number>', 'simulations that run at the same time', '4')
  .option('--only <text>', 'only scenarios whose name contains the text')
  .option('--variant <text>', 'only variants whose name contains the text')
  .option('--deployment <text>', 'only deployments whose name contains the text')
  .option('--no-policies', 'leave out the comparison of policies')
  .option('--no-mechanisms', 'leave out the comparison with mechanisms switched off');
program.parse();
const options = program.opts<Options>();
if (options.policies) await printTables('Policies', policyVariants, options);
if (options.mechanisms) await printTables('Mechanisms switched off', ablationVariants, options);
