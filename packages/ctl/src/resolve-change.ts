import { setTimeout as sleep } from 'node:timers/promises';

import { readAnswer } from './answer.js';
import { ExitCode } from './exit-code.js';
import { sendQuery, type Connection } from './operator-client.js';

/** Time for which a change with a lost answer is asked for. */
export const resolveMilliseconds = 15_000;
const pauseMilliseconds = 250;

/** What is known of a change in the end. */
export interface Resolution {
  readonly exitCode: ExitCode;
  readonly message: string;
}

const finalStates: Readonly<Record<string, Resolution>> = {
  conflict: {
    exitCode: ExitCode.Conflict,
    message: 'another change came first; nothing was changed',
  },
  'in-force': { exitCode: ExitCode.Done, message: 'the change was made' },
  rejected: {
    exitCode: ExitCode.Rejected,
    message: 'the change was rejected; nothing was changed',
  },
};

/**
 * Asks for a change by its identifier until the answer is final. A change that is not found is not
 * final: the text may still be on its way to the node, or the node may still be proposing it.
 */
export async function resolveChange(
  connection: Connection,
  changeId: string,
  limitMilliseconds = resolveMilliseconds,
): Promise<Resolution> {
  const endsAt = performance.now() + limitMilliseconds;
  let lastState = 'no answer';
  while (performance.now() < endsAt) {
    const text = `show change ${changeId}`;
    const timeoutMilliseconds = Math.min(
      connection.timeoutMilliseconds,
      Math.max(1, endsAt - performance.now()),
    );
    const reply = await sendQuery({ ...connection, timeoutMilliseconds }, { output: 'json', text });
    const state = reply.kind === 'answered' ? readAnswer(reply.body).rows[0]?.state : undefined;
    if (typeof state === 'string') {
      const resolution = finalStates[state];
      if (resolution !== undefined) return resolution;
      lastState = state;
    }
    await sleep(pauseMilliseconds);
  }
  const message = `nobody could say whether the change was made (${lastState}); ask again with: peridotctl query 'show change ${changeId}'`;
  return { exitCode: ExitCode.Unknown, message };
}
