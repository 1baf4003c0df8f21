import { program } from 'commander';

import { deployments } from './deployment.js';
import type { RunResult } from './run-result.js';
import { scenarios } from './scenario.js';
import { renderTables, runSeeds } from './tables.js';
import { ablationVariants, policyVariants } from './variant.js';
import type { Variant } from './variant.js';

interface Options {
  readonly seed: string;
  readonly seeds: string;
  readonly only?: string;
  readonly deployment?: string;
  readonly mechanisms: boolean;
  readonly policies: boolean;
}

function printTables(title: string, variants: readonly Variant[], options: Options): void {
  const first = Number(options.seed);
  const seeds = Array.from({ length: Number(options.seeds) }, (_, index) => first + index);
  console.log(`### ${title}\n`);
  for (const deployment of deployments) {
    if (options.deployment !== undefined && deployment.name !== options.deployment) continue;
    for (const scenario of scenarios) {
      if (options.only !== undefined && !scenario.name.includes(options.only)) continue;
      const results = new Map<string, RunResult>();
      for (const variant of variants) {
        results.set(variant.name, runSeeds(deployment, scenario, variant, seeds));
      }
      console.log(renderTables(deployment, scenario, results));
    }
  }
}

program
  .description('Measures selection policies in virtual time and prints Markdown tables')
  .option('--seed <number>', 'first seed', '1')
  .option('--seeds <number>', 'number of seeds that are counted together', '3')
  .option('--only <text>', 'only scenarios whose name contains the text')
  .option('--deployment <name>', 'only this deployment')
  .option('--no-policies', 'leave out the comparison of policies')
  .option('--no-mechanisms', 'leave out the comparison with mechanisms switched off');
program.parse();
const options = program.opts<Options>();
if (options.policies) printTables('Policies', policyVariants, options);
if (options.mechanisms) printTables('Mechanisms switched off', ablationVariants, options);
