import { endToEndFields } from '@peridotspring/core';
import type { HeaderFields } from '@peridotspring/core';

/** The upstream's headers that the caller receives, in a form that Node.js writes. */
export function answerHeaders(headers: HeaderFields): Record<string, string | string[]> {
  const answer: Record<string, string | string[]> = {};
  const fields = endToEndFields(headers);
  for (const name of Object.keys(fields)) {
    const value = fields[name];
    if (value !== undefined) answer[name] = typeof value === 'string' ? value : [...value];
  }
  return answer;
}

/** The value of a header that must not stand twice. */
export function singleHeader(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value.join(', ') : value;
}
