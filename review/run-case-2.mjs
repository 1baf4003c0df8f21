// Runs one case: it starts the deployment, judges what was seen, and ends with 1 if the rule was broken, 0 if it held, 2 otherwise.
import { join } from 'node:path';

import { Deployment } from './deployment-2.mjs';

const timeLimitMilliseconds = 110_000;

/** `play(deployment, hasTrouble)` resolves to the sentences that say how the rule was broken; none if it held. */
export async function runCase(folder, play) {
  const hasTrouble = process.env.TROUBLE !== '0';
  const deployment = new Deployment(join(folder, 'record.txt'));
  const end = async (code, lines) => {
    for (const line of lines) {
      deployment.log(line);
      console.log(line);
    }
    await deployment.close();
    process.exit(code);
  };
  setTimeout(() => void end(2, ['the case took too long']), timeLimitMilliseconds);
  try {
    const faults = await play(deployment, hasTrouble);
    const verdict = faults.length > 0 ? 'BROKEN' : 'held';
    await end(faults.length > 0 ? 1 : 0, [...faults, verdict]);
  } catch (error) {
    await end(2, [`the case could not run: ${error.stack}`]);
  }
}
