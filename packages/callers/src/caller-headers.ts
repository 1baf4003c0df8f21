import { endToEndFields } from '@peridotspring/core';
import type { HeaderFields } from '@peridotspring/core';

/** Converts the upstream's end-to-end response headers to the form that Node.js writes. */
export function responseHeaders(headers: HeaderFields): Record<string, string | string[]> {
  const responseFields: Record<string, string | string[]> = {};
  const fields = endToEndFields(headers);
  for (const name of Object.keys(fields)) {
    const value = fields[name];
    if (value !== undefined) responseFields[name] = typeof value === 'string' ? value : [...value];
  }
  return responseFields;
}

/** The value of a header that is allowed only once; repeated values are joined, so that validation can reject them. */
export function singleHeader(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value.join(', ') : value;
}
