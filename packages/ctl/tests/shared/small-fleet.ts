import { execFile } from 'node:child_process';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

import { fleetOperatorSecret, ProcessFleet, type ServerPlan } from '@peridotspring/stand-ins';

const pauseMilliseconds = 100;
/** Generous, because it only bounds how long a test that fails takes. */
const limitMilliseconds = 120_000;

function script(path: string): string {
  return fileURLToPath(new URL(`../../../../${path}`, import.meta.url));
}

/** Servers of one service, each in another availability zone. */
export const plans: readonly ServerPlan[] = ['a', 'b', 'c'].map((zone) => ({
  availabilityZone: `bern-${zone}`,
  connections: 50,
  region: 'ch-mittelland',
  server: `antrag-${zone}`,
  service: 'antrag',
  slots: 6,
}));

/** A fleet of real processes that is not started yet. */
export function createFleet(): ProcessFleet {
  return new ProcessFleet({
    daemonScript: script('daemon/dist/src/main.js'),
    platformScript: script('stand-ins/dist/src/platform-main.js'),
    upstreamFlags: ['--service-time', 'fixed:1'],
    upstreamScript: script('stand-ins/dist/src/upstream/main.js'),
  });
}

/** What peridotctl printed and its exit code. */
export interface ToolRun {
  readonly code: number;
  readonly out: string;
  readonly errors: string;
}

/** Runs the real peridotctl against the operator port of a node. */
export function runTool(
  operatorPort: number,
  ...argumentList: readonly string[]
): Promise<ToolRun> {
  const flags = ['--address', `127.0.0.1:${operatorPort}`, '--timeout', '60s'];
  return new Promise((resolve) => {
    execFile(
      process.execPath,
      [script('ctl/bin/peridotctl.mjs'), ...flags, ...argumentList],
      { env: { ...process.env, PERIDOTCTL_SECRET: fleetOperatorSecret } },
      (error, out, errors) => {
        resolve({ code: error === null ? 0 : Number(error.code), errors, out });
      },
    );
  });
}

/** Repeats an attempt until its result is accepted, and returns that result. */
export async function eventually<Result>(
  attempt: () => Promise<Result>,
  isAccepted: (result: Result) => boolean,
): Promise<Result> {
  const endsAt = performance.now() + limitMilliseconds;
  for (;;) {
    const result = await attempt();
    if (isAccepted(result)) return result;
    if (performance.now() > endsAt) {
      throw new Error(`not accepted in time: ${JSON.stringify(result)}`);
    }
    await sleep(pauseMilliseconds);
  }
}
