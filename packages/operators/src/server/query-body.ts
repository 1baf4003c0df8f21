import type { IncomingMessage } from 'node:http';

import type { Query } from '../query-runner.js';

/** Forms in which a result is returned. */
export const Output = { Json: 'json', Table: 'table' } as const;
export type Output = (typeof Output)[keyof typeof Output];

/** The body of `POST /query`. */
export interface QueryBody extends Query {
  readonly output: Output;
}

/** Reads a body up to a limit; undefined when it is longer. */
export async function readBody(
  request: IncomingMessage,
  maximumBytes: number,
): Promise<string | undefined> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    length += chunk.length;
    if (length > maximumBytes) return undefined;
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
}

const changeIdForm = /^[A-Za-z0-9_.:-]{1,64}$/;

/** Reads the JSON of a query; a string says what is wrong with it. */
export function parseQueryBody(body: string): QueryBody | string {
  let value: unknown;
  try {
    value = JSON.parse(body);
  } catch {
    return 'the body is not JSON';
  }
  if (typeof value !== 'object' || value === null) return 'the body is not a JSON object';
  const { changeId, output = Output.Json, text } = value as Readonly<Record<string, unknown>>;
  if (typeof text !== 'string') return '`text` is not a string';
  if (output !== Output.Json && output !== Output.Table) return '`output` is not `json` or `table`';
  if (changeId === undefined) return { output, text };
  if (typeof changeId !== 'string' || !changeIdForm.test(changeId)) {
    return '`changeId` is not 1 to 64 letters, digits, dots, colons, underscores or hyphens';
  }
  return { changeId, output, text };
}
