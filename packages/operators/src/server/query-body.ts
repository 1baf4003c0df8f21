import type { Query } from '../query-runner.js';

/** Format in which a result is returned. */
export const OutputFormat = { Json: 'json', Table: 'table' } as const;
export type OutputFormat = (typeof OutputFormat)[keyof typeof OutputFormat];

/** The body of `POST /query`. */
export interface QueryBody extends Query {
  readonly output: OutputFormat;
}

const changeIdPattern = /^[A-Za-z0-9_.:-]{1,64}$/;

/** Parses the body of a query. Returns an error message if the body is invalid. */
export function parseQueryBody(body: string): QueryBody | string {
  let value: unknown;
  try {
    value = JSON.parse(body);
  } catch {
    return 'the body is not valid JSON';
  }
  if (typeof value !== 'object' || value === null) return 'the body is not a JSON object';
  const { changeId, output = OutputFormat.Json, text } = value as Readonly<Record<string, unknown>>;
  if (typeof text !== 'string') return '`text` is not a string';
  if (output !== OutputFormat.Json && output !== OutputFormat.Table)
    return '`output` is not `json` or `table`';
  if (changeId === undefined) return { output, text };
  if (typeof changeId !== 'string' || !changeIdPattern.test(changeId)) {
    return '`changeId` does not consist of 1 to 64 letters, digits, dots, colons, underscores or hyphens';
  }
  return { changeId, output, text };
}
