import { setTimeout as sleep } from 'node:timers/promises';

import { sumTallies, type ZoneSurvey } from '../gathering/zone-question.js';
import type { OperatorBackend } from '../operator-backend.js';
import type { InForceResult } from '../results.js';

/** Time within which a change is in force everywhere. */
export const defaultWaitMilliseconds = 6_000;
/** A longer wait would hold the operator's connection open for too long. */
export const maximumWaitMilliseconds = 60_000;

const roundDeadlineMilliseconds = 1_000;
const pauseMilliseconds = 100;

/** Nodes named in a result of each kind; the counts are exact. */
const maximumNames = 100;

function isComplete(survey: ZoneSurvey): boolean {
  return survey.lacking.count === 0 && survey.missing.count === 0;
}

/** Asks the zones with nodes that lack the revision again, until none does or the time is over. */
export async function waitInForce(
  backend: OperatorBackend,
  revision: number,
  upToMilliseconds: number = defaultWaitMilliseconds,
): Promise<InForceResult> {
  const endsAt = performance.now() + Math.min(upToMilliseconds, maximumWaitMilliseconds);
  let availabilityZones: ReadonlySet<string> | undefined;
  for (;;) {
    const remaining = Math.max(1, endsAt - performance.now());
    const deadlineMilliseconds = Math.min(roundDeadlineMilliseconds, remaining);
    const surveys = await backend.survey({ revision, deadlineMilliseconds, availabilityZones });
    const open = [...surveys].filter(([, survey]) => !isComplete(survey));
    const everywhere = open.length === 0;
    if (everywhere || performance.now() + pauseMilliseconds >= endsAt) {
      const lacking = sumTallies(
        open.map(([, survey]) => survey.lacking),
        maximumNames,
      );
      const missing = sumTallies(
        open.map(([, survey]) => survey.missing),
        maximumNames,
      );
      return {
        everywhere,
        kind: 'in-force',
        lacking: lacking.named,
        lackingCount: lacking.count,
        missing: missing.named,
        missingCount: missing.count,
        revision,
      };
    }
    // Revisions never fall, so a zone in which every member has it need not be asked again. A node that
    // has died meanwhile takes the newest revision when it comes back.
    availabilityZones = new Set(open.map(([zone]) => zone));
    await sleep(pauseMilliseconds);
  }
}
