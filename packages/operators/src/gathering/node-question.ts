import type { QuestionStatement } from '@peridotspring/language/text';

import type { OperatorBackend } from '../operator-backend.js';
import { combineRows } from '../questions/combine-rows.js';
import type { Row, RowValue } from '../questions/rows.js';
import { checkQuestion, selectRows } from '../questions/select-rows.js';
import { isGatheredStatement } from './statement-guards.js';
import { parseJson } from './parse-json.js';
import { decodeZoneQuestion } from './zone-question.js';

/**
 * Longest answer of one node, in characters. A frame holds at most 1.25 MiB, and a character takes up
 * to 3 bytes in UTF-8.
 */
export const maximumAnswerLength = 400_000;

/** The answer of a node to a `NodeQuestion`. */
export type NodeAnswer =
  | { readonly kind: 'rows'; readonly revision: number; readonly rows: readonly Row[] }
  | { readonly kind: 'failed'; readonly cause: string };

/** A question that a node sends to other nodes. */
export interface NodeQuestion {
  /** The unparsed question, for nodes of earlier builds, which parse it themselves. */
  readonly text: string;
  readonly statement: QuestionStatement;
}

/** Asks for the configuration revision in force. */
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
 * Encodes the payload of an `operator-question` frame. The statement is sent in its parsed form, because
 * the receiving nodes have no parser loaded and loading it takes longer than the deadline.
 */
export function encodeNodeQuestion({ statement, text }: NodeQuestion): string {
  return JSON.stringify({ statement, text });
}

function decodeNodeQuestion(payload: string): QuestionStatement | undefined {
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

/** Decodes the payload of an `operator-answer` frame. */
export function decodeNodeAnswer(payload: string): NodeAnswer {
  const malformed: NodeAnswer = { cause: 'malformed answer', kind: 'failed' };
  const value = parseJson(payload);
  if (typeof value !== 'object' || value === null) return malformed;
  const fields = value as Readonly<Record<string, unknown>>;
  const { cause, kind, revision, rows } = fields;
  if (kind === 'failed' && typeof cause === 'string') return { cause, kind };
  if (kind !== 'rows' || typeof revision !== 'number' || !Array.isArray(rows)) return malformed;
  return rows.every(isRow) ? { kind, revision, rows } : malformed;
}

async function answerStatement(backend: OperatorBackend, payload: string): Promise<NodeAnswer> {
  const statement = decodeNodeQuestion(payload);
  if (statement === undefined) {
    return { cause: 'the node does not know this question', kind: 'failed' };
  }
  const rows = await backend.localRows(statement.question);
  const revision = backend.configuration().revision;
  // The rows of all other kinds are combined by the asking node before conditions apply to them.
  const isSelectedLocally = statement.question.kind === 'requests';
  if (!isSelectedLocally) return { kind: 'rows', revision, rows };
  if (checkQuestion(statement).length > 0) {
    return { cause: 'the node does not know a field of this question', kind: 'failed' };
  }
  // Sorted before the limit is applied, so that it keeps the rows that come first in the final answer.
  const ordered = combineRows(statement.question, rows, backend.configuration());
  return { kind: 'rows', revision, rows: selectRows(statement, ordered).rows };
}

/** Answers an `operator-question` frame. Returns the payload of the `operator-answer` frame. */
export async function answerNodeQuestion(
  backend: OperatorBackend,
  payload: string,
): Promise<string> {
  const zoneQuestion = decodeZoneQuestion(payload);
  if (zoneQuestion !== undefined)
    return JSON.stringify(await backend.answerZoneQuestion(zoneQuestion));
  const answer = JSON.stringify(await answerStatement(backend, payload));
  if (answer.length <= maximumAnswerLength) return answer;
  const failure: NodeAnswer = {
    cause: 'the answer is too long; add `where` or `limit`',
    kind: 'failed',
  };
  return JSON.stringify(failure);
}
