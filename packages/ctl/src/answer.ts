import { ExitCode } from './exit-code.js';
import type { Reply } from './operator-client.js';

/** The parts of a node's answer that peridotctl reads; the rest is printed as it came. */
export interface Answer {
  readonly kind: string;
  readonly status: string | undefined;
  readonly table: string | undefined;
  readonly message: string | undefined;
  readonly rows: readonly Readonly<Record<string, unknown>>[];
  readonly everywhere: boolean | undefined;
  readonly missing: number;
  readonly lacking: number;
}

type Fields = Readonly<Record<string, unknown>>;

function fieldsOf(value: unknown): Fields {
  return typeof value === 'object' && value !== null ? (value as Fields) : {};
}

function textOf(value: unknown): string | undefined {
  return typeof value === 'string' ? value : undefined;
}

function lengthOf(value: unknown): number {
  return Array.isArray(value) ? value.length : 0;
}

/** Reads an answer leniently, so that a newer node can add fields. */
export function readAnswer(body: unknown): Answer {
  const fields = fieldsOf(body);
  const inForce = fields.kind === 'in-force' ? fields : fieldsOf(fields.inForce);
  return {
    everywhere: typeof inForce.everywhere === 'boolean' ? inForce.everywhere : undefined,
    kind: textOf(fields.kind) ?? 'malformed',
    lacking: lengthOf(fields.lacking),
    message: textOf(fields.message),
    missing: lengthOf(fields.missing),
    rows: Array.isArray(fields.rows) ? fields.rows.map(fieldsOf) : [],
    status: textOf(fields.status),
    table: textOf(fields.table),
  };
}

function exitCodeOfChange(answer: Answer): ExitCode {
  switch (answer.status) {
    case 'accepted':
    case 'dry-run':
    case 'unchanged':
      return answer.everywhere === false ? ExitCode.Partial : ExitCode.Done;
    case 'conflict':
      return ExitCode.Conflict;
    case 'rejected':
      return ExitCode.Rejected;
    case undefined:
    default:
      return ExitCode.Unknown;
  }
}

/** The exit code that an answer stands for. */
export function exitCodeOf(answer: Answer): ExitCode {
  switch (answer.kind) {
    case 'rows':
      return answer.missing + answer.lacking === 0 ? ExitCode.Done : ExitCode.Partial;
    case 'in-force':
      return answer.everywhere === true ? ExitCode.Done : ExitCode.Partial;
    case 'change':
      return exitCodeOfChange(answer);
    case 'faults':
      return ExitCode.Usage;
    default:
      return ExitCode.Unreachable;
  }
}

/** Whether the node has decided; false when a change may or may not have been made. */
export function isDecided(reply: Reply): boolean {
  if (reply.kind !== 'answered') return reply.kind === 'not-sent';
  // A malformed body and a fault while the change ran say nothing of the change; 503 with `failed` was
  // answered before the text was read.
  const { kind, status } = readAnswer(reply.body);
  if (kind === 'change') return status !== 'unresolved';
  return (
    reply.status === 503 || (reply.status >= 200 && reply.status < 500 && kind !== 'malformed')
  );
}
