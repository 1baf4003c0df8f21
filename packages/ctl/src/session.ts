import { randomUUID } from 'node:crypto';

import { markError, parseStatement, type Statement } from '@peridotspring/language';

import { exitCodeOf, isDecided, readAnswer } from './answer.js';
import { ExitCode } from './exit-code.js';
import { sendQuery, type Connection, type Reply } from './operator-client.js';
import { resolveChange } from './resolve-change.js';
import type { Terminal } from './terminal.js';

/** Everything that a command of peridotctl works with. */
export interface Session {
  readonly connection: Connection;
  readonly output: 'json' | 'table';
  readonly terminal: Terminal;
  /** Time for which a change with a lost answer is asked for. */
  readonly resolveMilliseconds: number;
}

/** Time that the node itself takes to wait for a revision everywhere. */
const defaultWaitMilliseconds = 6_000;

function waitMillisecondsOf(statement: Statement): number {
  if (statement.kind === 'wait') return statement.upToMilliseconds ?? defaultWaitMilliseconds;
  if (statement.kind === 'question' || statement.wait === undefined) return 0;
  return statement.wait.upToMilliseconds ?? defaultWaitMilliseconds;
}

/** Parses a text and prints its faults. */
export function parseOrReport(terminal: Terminal, text: string): Statement | undefined {
  const result = parseStatement(text);
  if (result.kind === 'parsed') return result.statement;
  for (const error of result.errors) terminal.error(markError(text, error));
  return undefined;
}

function report(session: Session, reply: Reply): ExitCode {
  const { output, terminal } = session;
  if (reply.kind !== 'answered') {
    terminal.error(`the node could not be asked: ${reply.cause}`);
    return ExitCode.Unreachable;
  }
  const answer = readAnswer(reply.body);
  if (answer.kind === 'failed' || answer.kind === 'malformed') {
    terminal.error(`the node answered ${reply.status}: ${answer.message ?? 'no JSON'}`);
    if (reply.status === 400 || reply.status === 413) return ExitCode.Usage;
    return reply.status === 401 ? ExitCode.Forbidden : ExitCode.Unreachable;
  }
  const text = output === 'table' ? answer.table : undefined;
  terminal.out(text ?? JSON.stringify(reply.body, undefined, 2));
  return exitCodeOf(answer);
}

/** Sends a text, prints the answer and returns the exit code. */
export async function runText(
  session: Session,
  text: string,
  statement: Statement,
): Promise<ExitCode> {
  const { connection, output, terminal } = session;
  const isChange = statement.kind === 'change' && !statement.dryRun;
  const changeId = isChange ? randomUUID() : undefined;
  const extra = waitMillisecondsOf(statement);
  const reply = await sendQuery(connection, { changeId, output, text }, extra);
  if (changeId === undefined || isDecided(reply)) return report(session, reply);
  const cause = reply.kind === 'answered' ? `status ${reply.status}` : reply.cause;
  terminal.error(`the answer to change ${changeId} was lost (${cause}); asking for the change`);
  const resolution = await resolveChange(connection, changeId, session.resolveMilliseconds);
  terminal.error(`change ${changeId}: ${resolution.message}`);
  if (resolution.exitCode !== ExitCode.Done || extra === 0) return resolution.exitCode;
  // The change was to be waited for, and that answer was lost as well.
  const wait = `wait up to ${extra}ms`;
  return report(session, await sendQuery(connection, { output, text: wait }, extra));
}
