import { setTimeout as sleep } from 'node:timers/promises';

import { sumTallies, type ZoneSurvey } from '../gathering/zone-question.js';
import type { OperatorBackend } from '../operator-backend.js';
import type { InForceResult } from '../results.js';

/** Default waiting time, within which a change is normally in force on every node. */
export const defaultWaitMilliseconds = 6_000;
/** Longest waiting time, so that the connection of the operator is not held open for too long. */
export const maximumWaitMilliseconds = 60_000;

const surveyDeadlineMilliseconds = 1_000;
const surveyIntervalMilliseconds = 100;

/** Limit of the lacking and of the missing nodes named in a result. The counts are exact. */
const maximumNames = 100;

function isComplete(survey: ZoneSurvey): boolean {
  return survey.lacking.count === 0 && survey.missing.count === 0;
}

/**
 * Waits until a revision is in force on every node or the time is over. Surveys again the zones in
 * which members lack the revision or did not answer.
 */
export async function waitInForce(
  backend: OperatorBackend,
  revision: number,
  upToMilliseconds: number = defaultWaitMilliseconds,
): Promise<InForceResult> {
  const deadlineAt = performance.now() + Math.min(upToMilliseconds, maximumWaitMilliseconds);
  let availabilityZones: ReadonlySet<string> | undefined;
  for (;;) {
    const remainingMilliseconds = Math.max(1, deadlineAt - performance.now());
    const deadlineMilliseconds = Math.min(surveyDeadlineMilliseconds, remainingMilliseconds);
    const surveys = await backend.survey({ revision, deadlineMilliseconds, availabilityZones });
    const incomplete = [...surveys].filter(([, survey]) => !isComplete(survey));
    const everywhere = incomplete.length === 0;
    if (everywhere || performance.now() + surveyIntervalMilliseconds >= deadlineAt) {
      const lacking = sumTallies(
        incomplete.map(([, survey]) => survey.lacking),
        maximumNames,
      );
      const missing = sumTallies(
        incomplete.map(([, survey]) => survey.missing),
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
    // Revisions never decrease, so a zone in which every member has the revision is not surveyed again.
    // A node that dies in the meantime loads the newest revision when it restarts.
    availabilityZones = new Set(incomplete.map(([zone]) => zone));
    await sleep(surveyIntervalMilliseconds);
  }
}
