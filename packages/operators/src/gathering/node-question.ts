import type { QuestionStatement } from '@peridotspring/language/text';

import type { OperatorBackend } from '../operator-backend.js';
import { combineRows } from '../questions/combine-rows.js';
import type { Row, RowValue } from '../questions/rows.js';
import { checkQuestion, selectRows } from '../questions/select-rows.js';
import { isGatheredStatement } from './statement-check.js';
import { parseJson } from './parse-json.js';
import { decodeZoneQuestion } from './zone-question.js';

/**
 * Longest answer of one node in characters. A frame holds at most 1.25 MiB, and one character takes
 * up to 3 bytes as UTF-8.
 */
export const maximumAnswerLength = 400_000;

/** What a node answers to another node's question. */
export type NodeAnswer =
  | { readonly kind: 'rows'; readonly revision: number; readonly rows: readonly Row[] }
  | { readonly kind: 'failed'; readonly cause: string };

/** A question to other nodes. */
export interface NodeQuestion {
  /** Read by nodes of earlier builds, which parse the question themselves. */
  readonly text: string;
  readonly statement: QuestionStatement;
}

/** Asks for the revision in force. */
export const revisionQuestion: NodeQuestion = {
  statement: {
    conditions: [],
    kind: 'question',
    limit: undefined,
    order: undefined,
    question: { kind: 'revision' },
  },
  text: 'show revision',
};

/**
 * Writes the payload of an `operator-question` frame. The statement travels parsed, because the nodes
 * that are asked have no parser loaded, and loading it takes longer than the deadline.
 */
export function encodeQuestion({ statement, text }: NodeQuestion): string {
  return JSON.stringify({ statement, text });
}

function decodeQuestion(payload: string): QuestionStatement | undefined {
  const value = parseJson(payload);
  if (typeof value !== 'object' || value === null || !('statement' in value)) return undefined;
  return isGatheredStatement(value.statement) ? value.statement : undefined;
}

function isRowValue(value: unknown): value is RowValue {
  return value === null || ['boolean', 'number', 'string'].includes(typeof value);
}

function isRow(value: unknown): value is Row {
  return typeof value === 'object' && value !== null && Object.values(value).every(isRowValue);
}

/** Reads the payload of an `operator-answer` frame. */
export function decodeAnswer(payload: string): NodeAnswer {
  const malformed: NodeAnswer = { cause: 'malformed answer', kind: 'failed' };
  const value = parseJson(payload);
  if (typeof value !== 'object' || value === null) return malformed;
  const fields = value as Readonly<Record<string, unknown>>;
  const { cause, kind, revision, rows } = fields;
  if (kind === 'failed' && typeof cause === 'string') return { cause, kind };
  if (kind !== 'rows' || typeof revision !== 'number' || !Array.isArray(rows)) return malformed;
  return rows.every(isRow) ? { kind, revision, rows } : malformed;
}

async function answerOf(backend: OperatorBackend, payload: string): Promise<NodeAnswer> {
  const statement = decodeQuestion(payload);
  if (statement === undefined) {
    return { cause: 'the node does not know this question', kind: 'failed' };
  }
  const rows = await backend.rows(statement.question);
  const revision = backend.configuration().revision;
  // The rows of other questions are combined first; conditions on them apply to the combined rows.
  const isSelectable = statement.question.kind === 'requests';
  if (!isSelectable) return { kind: 'rows', revision, rows };
  if (checkQuestion(statement).length > 0) {
    return { cause: 'the node does not know a field of this question', kind: 'failed' };
  }
  // A limit has to keep the rows that come first in the whole answer.
  const ordered = combineRows(statement.question, rows, backend.configuration());
  return { kind: 'rows', revision, rows: selectRows(statement, ordered).rows };
}

/** Answers an `operator-question` frame: returns the payload of the `operator-answer`. */
export async function answerNodeQuestion(
  backend: OperatorBackend,
  payload: string,
): Promise<string> {
  const zoneQuestion = decodeZoneQuestion(payload);
  if (zoneQuestion !== undefined) return JSON.stringify(await backend.answerZone(zoneQuestion));
  const answer = JSON.stringify(await answerOf(backend, payload));
  if (answer.length <= maximumAnswerLength) return answer;
  const failure: NodeAnswer = {
    cause: 'the answer is too long; add `where` or `limit`',
    kind: 'failed',
  };
  return JSON.stringify(failure);
}
