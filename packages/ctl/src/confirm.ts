import type { Command, Statement } from '@peridotspring/language';

import { readAnswer } from './answer.js';
import { ExitCode } from './exit-code.js';
import { sendQuery } from './operator-client.js';
import { runText, type Session } from './session.js';

const takingCapacity: ReadonlySet<Command['kind']> = new Set([
  'drain-server',
  'drain-zone',
  'remove-service',
]);

/** Whether a statement takes capacity away, so that a mistake would be felt at once. */
export function takesCapacity(statement: Statement): boolean {
  if (statement.kind !== 'change' || statement.dryRun) return false;
  return statement.commands.some(({ kind }) => takingCapacity.has(kind));
}

async function showDryRun(session: Session, text: string): Promise<void> {
  const message = { output: 'table', text: `dry run ${text}` } as const;
  const reply = await sendQuery(session.connection, message);
  const table = reply.kind === 'answered' ? readAnswer(reply.body).table : undefined;
  session.terminal.error(table ?? 'the node could not say what the change does');
}

/** Runs a text; one that takes capacity away only after a confirmation or with `--yes`. */
export async function runConfirmed(
  session: Session,
  text: string,
  statement: Statement,
  isConfirmed: boolean,
): Promise<ExitCode> {
  const { terminal } = session;
  if (isConfirmed || !takesCapacity(statement)) return runText(session, text, statement);
  if (!terminal.isInteractive) {
    terminal.error('this change takes capacity away; confirm it with --yes');
    return ExitCode.NotConfirmed;
  }
  await showDryRun(session, text);
  const answer = await terminal.ask('This takes capacity away. Go on? [yes/no] ');
  if (answer.trim().toLowerCase() === 'yes') return runText(session, text, statement);
  terminal.error('not confirmed; nothing was done');
  return ExitCode.NotConfirmed;
}
