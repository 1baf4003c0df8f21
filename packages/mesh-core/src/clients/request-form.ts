import { parseConnectionOptions } from '@peridotspring/core';

import { ClientFault } from './client-fault.js';

/** What a server reads of a head beside the fields that every server reads; all names are in lower case. */
export interface RequestFormRules {
  /** Fields that state one value. If they are repeated, recipients may disagree about which one counts. */
  readonly singleFields: ReadonlySet<string>;
  /** Fields that can't be passed on under their names. */
  readonly refusedFields: ReadonlySet<string>;
}

/**
 * Finds out whether a request that the parser accepts would be passed on changed, or could mean different things to different
 * recipients. `rawHeaders` has alternating names and values, as Node.js reads them. The parser has checked the length of the body.
 */
export function findFormFault(
  rawHeaders: readonly string[],
  target: string,
  { refusedFields, singleFields }: RequestFormRules,
): ClientFault | undefined {
  let host: string | undefined;
  const seen = new Set<string>();
  const codings: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = (rawHeaders[index] ?? '').toLowerCase();
    const value = rawHeaders[index + 1] ?? '';
    if (refusedFields.has(name)) return ClientFault.Malformed;
    if (singleFields.has(name)) {
      if (seen.has(name)) return ClientFault.RepeatedField;
      seen.add(name);
    }
    switch (name) {
      case 'connection':
        if (parseConnectionOptions(value).has('host')) return ClientFault.ConflictingHosts;
        break;
      case 'host':
        if (host !== undefined) return ClientFault.ConflictingHosts;
        host = value;
        break;
      case 'transfer-encoding':
        codings.push(...value.split(',').map((coding) => coding.trim().toLowerCase()));
    }
  }
  if (codings.length > 0 && codings.at(-1) !== 'chunked') return ClientFault.ConflictingLengths;
  // The body is decoded here, and another coding would be lost with its field.
  if (codings.length > 1) return ClientFault.TransferCoding;
  const authority = authorityOf(target);
  const isConflicting = authority !== undefined && authority !== host?.toLowerCase();
  return isConflicting ? ClientFault.ConflictingHosts : undefined;
}

/** The authority of a target in absolute form (RFC 9112, section 3.2.2); undefined for other forms. */
function authorityOf(target: string): string | undefined {
  return /^[a-z][a-z0-9+.-]*:\/\/([^/?#]*)/i.exec(target)?.[1]?.toLowerCase();
}
