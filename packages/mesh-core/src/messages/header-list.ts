import { hopByHopFieldNames, parseConnectionOptions } from '@peridotspring/core';

import type { HeaderList } from './mesh-frames.js';

/**
 * Returns the end-to-end header fields, which are forwarded from one connection to the next. `rawHeaders` has
 * alternating names and values, as Node.js reads them. `reservedNames` are fields that only this system sets.
 */
export function endToEndHeaders(
  rawHeaders: readonly string[],
  reservedNames: ReadonlySet<string>,
): [string, string][] {
  const fields: [string, string][] = [];
  const connectionOptions = new Set<string>();
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = (rawHeaders[index] ?? '').toLowerCase();
    const value = rawHeaders[index + 1] ?? '';
    if (name === 'connection')
      for (const token of parseConnectionOptions(value)) connectionOptions.add(token);
    if (hopByHopFieldNames.has(name) || name === 'content-length' || reservedNames.has(name))
      continue;
    fields.push([name, value]);
  }
  return connectionOptions.size === 0
    ? fields
    : fields.filter(([name]) => !connectionOptions.has(name));
}

/** Returns all values of a header field; `rawHeaders` has alternating names and values, and `name` must be in lower case. */
export function headerValues(rawHeaders: readonly string[], name: string): string[] {
  const values: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const field = rawHeaders[index] ?? '';
    if (field.length === name.length && field.toLowerCase() === name)
      values.push(rawHeaders[index + 1] ?? '');
  }
  return values;
}

/** Returns the first value of a header field; `name` must be in lower case. */
export function headerValue(fields: HeaderList, name: string): string | undefined {
  return fields.find(([field]) => field === name)?.[1];
}

/**
 * Converts header fields to the form that Node.js writes: a name with several values has an array. The result has no
 * prototype, so that a field may have the name of a property that all objects inherit.
 */
export function toOutgoingHeaders(fields: HeaderList): Record<string, string | string[]> {
  const outgoing = Object.create(null) as Record<string, string | string[]>;
  for (const [name, value] of fields) {
    const existing = outgoing[name];
    if (existing === undefined) outgoing[name] = value;
    else if (typeof existing === 'string') outgoing[name] = [existing, value];
    else existing.push(value);
  }
  return outgoing;
}
