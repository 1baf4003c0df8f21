import { setTimeout as sleep } from 'node:timers/promises';

import type { Statement } from '@peridotspring/language';

import { ExitCode } from './exit-code.js';
import { runText, type Session } from './session.js';

/** How often a watch asks, and how many times; undefined asks until it is interrupted. */
export interface WatchOptions {
  readonly intervalMilliseconds: number;
  readonly count: number | undefined;
}

/** Moves the cursor home and clears the screen. */
const clearScreen = '\u001b[H\u001b[2J';

/** Asks a question again and again and shows the newest answer. */
export async function watch(
  session: Session,
  text: string,
  statement: Statement,
  options: WatchOptions,
): Promise<ExitCode> {
  if (statement.kind !== 'question') {
    session.terminal.error('only a question can be watched');
    return ExitCode.Usage;
  }
  let exitCode: ExitCode = ExitCode.Done;
  for (let round = 0; options.count === undefined || round < options.count; round += 1) {
    if (round > 0) await sleep(options.intervalMilliseconds);
    const clear = session.terminal.isInteractive && session.output === 'table' ? clearScreen : '';
    if (clear !== '') session.terminal.out(`${clear}${new Date().toISOString()}  ${text}`);
    exitCode = await runText(session, text, statement);
    // A node that can't be reached may come back, but a wrong secret or question won't get better.
    if (exitCode === ExitCode.Usage || exitCode === ExitCode.Forbidden) return exitCode;
  }
  return exitCode;
}
