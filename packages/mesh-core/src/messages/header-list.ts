import { hopByHopNames, namesListed } from '@peridotspring/core';

import type { HeaderList } from './mesh-frames.js';

/**
 * The fields that go on from one connection to the next, from the alternating names and values that
 * Node.js reads. `own` names fields that the system sets itself.
 */
export function endToEndList(
  rawHeaders: readonly string[],
  own: ReadonlySet<string>,
): [string, string][] {
  const fields: [string, string][] = [];
  const listed = new Set<string>();
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = (rawHeaders[index] ?? '').toLowerCase();
    const value = rawHeaders[index + 1] ?? '';
    if (name === 'connection') for (const token of namesListed(value)) listed.add(token);
    if (hopByHopNames.has(name) || name === 'content-length' || own.has(name)) continue;
    fields.push([name, value]);
  }
  return listed.size === 0 ? fields : fields.filter(([name]) => !listed.has(name));
}

/** The first value of a field. */
export function fieldOf(fields: HeaderList, name: string): string | undefined {
  return fields.find(([field]) => field === name)?.[1];
}

/** Fields in the form that Node.js writes: a name with several values has a list. */
export function outgoingFields(fields: HeaderList): Record<string, string | string[]> {
  const outgoing: Record<string, string | string[]> = {};
  for (const [name, value] of fields) {
    const known = outgoing[name];
    if (known === undefined) outgoing[name] = value;
    else outgoing[name] = typeof known === 'string' ? [known, value] : [...known, value];
  }
  return outgoing;
}
