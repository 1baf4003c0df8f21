import type { UpstreamAnnouncement } from '@peridotspring/core';
import { z } from 'zod';

const maximumSlots = 10_000;
const maximumConnections = 65_535;

const servicePattern = /^[a-z][a-z0-9-]{0,62}$/;
const addressPattern = /^(?:[A-Za-z0-9.-]+|\[[0-9A-Fa-f:.]+\]):(\d{1,5})$/;

function count(maximum: number): z.ZodNumber {
  const message = `expected an integer from 1 to ${maximum}`;
  return z.number({ error: message }).int(message).min(1, message).max(maximum, message);
}

function isAddress(text: string): boolean {
  const port = Number(addressPattern.exec(text)?.[1] ?? 0);
  return port >= 1 && port <= 65_535;
}

const serviceMessage =
  'expected 1 to 63 lower-case letters, digits and hyphens that begin with a letter';
const addressMessage = 'expected host:port with a port from 1 to 65535';

const announcementSchema = z.strictObject({
  address: z.string({ error: addressMessage }).refine(isAddress, addressMessage),
  connections: count(maximumConnections),
  service: z.string({ error: serviceMessage }).regex(servicePattern, serviceMessage),
  slots: count(maximumSlots),
});

/** A field of an announcement that can't be accepted. */
export interface FieldError {
  readonly field: string;
  /** Names the accepted values. */
  readonly message: string;
}

/** The result of reading an announcement. */
export type ParsedAnnouncement =
  | { readonly kind: 'valid'; readonly announcement: UpstreamAnnouncement }
  | { readonly kind: 'invalid'; readonly errors: readonly FieldError[] };

/** Checks every field of an announcement and tells all faults at once. */
export function parseAnnouncement(content: unknown): ParsedAnnouncement {
  const parsed = announcementSchema.safeParse(content);
  if (parsed.success) return { announcement: parsed.data, kind: 'valid' };
  const errors = parsed.error.issues.flatMap((issue): readonly FieldError[] =>
    issue.code === 'unrecognized_keys'
      ? issue.keys.map((field) => ({
          field,
          message: 'unknown field; expected service, address, slots and connections',
        }))
      : [{ field: issue.path.join('.') || 'body', message: issue.message }],
  );
  return { errors, kind: 'invalid' };
}
