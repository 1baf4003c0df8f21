import { setTimeout as sleep } from 'node:timers/promises';

import { revisionQuestion } from '../gathering/node-question.js';
import type { MissingNode, NodeRevision, OperatorBackend } from '../operator-backend.js';
import { liveMembers } from '../questions/drained.js';
import type { InForceResult } from '../results.js';

/** Time within which a change is in force everywhere. */
export const defaultWaitMilliseconds = 6_000;
/** A longer wait would hold the operator's connection open for too long. */
export const maximumWaitMilliseconds = 60_000;

const roundDeadlineMilliseconds = 1_000;
const pauseMilliseconds = 100;

interface Round {
  readonly lacking: readonly NodeRevision[];
  readonly missing: readonly MissingNode[];
}

async function askRound(
  backend: OperatorBackend,
  revision: number,
  servers: readonly string[] | undefined,
  deadlineMilliseconds: number,
): Promise<Round> {
  const gathered = await backend.gather(revisionQuestion, { deadlineMilliseconds, servers });
  const own: NodeRevision = {
    revision: backend.configuration().revision,
    server: backend.server,
  };
  return {
    lacking: [own, ...gathered.revisions].filter((node) => node.revision < revision),
    missing: gathered.missing,
  };
}

/** Asks the nodes that lack the revision again and again, until none does or the time is over. */
export async function waitInForce(
  backend: OperatorBackend,
  revision: number,
  upToMilliseconds: number = defaultWaitMilliseconds,
): Promise<InForceResult> {
  const endsAt = performance.now() + Math.min(upToMilliseconds, maximumWaitMilliseconds);
  let servers: readonly string[] | undefined;
  for (;;) {
    const remaining = Math.max(1, endsAt - performance.now());
    const deadline = Math.min(roundDeadlineMilliseconds, remaining);
    const { lacking, missing } = await askRound(backend, revision, servers, deadline);
    const everywhere = lacking.length === 0 && missing.length === 0;
    if (everywhere || performance.now() + pauseMilliseconds >= endsAt) {
      return { everywhere, kind: 'in-force', lacking, missing, revision };
    }
    // Revisions never fall, so the nodes that have it need not be asked again. A node that has died
    // meanwhile takes the newest revision when it comes back.
    const live = new Set(liveMembers(backend.members()).map(({ server }) => server));
    servers = [...lacking, ...missing]
      .map(({ server }) => server)
      .filter((server) => server !== backend.server && live.has(server));
    await sleep(pauseMilliseconds);
  }
}
