import type { UpstreamAnnouncement } from '@peridotspring/core';
import { z } from 'zod';

const maximumSlots = 10_000;
const maximumConnections = 65_535;

const servicePattern = /^[a-z][a-z0-9-]{0,62}$/;
const addressPattern = /^(?:[A-Za-z0-9.-]+|\[[0-9A-Fa-f:.]+\]):(\d{1,5})$/;

function positiveIntegerUpTo(maximum: number): z.ZodNumber {
  const message = `expected an integer from 1 to ${maximum}`;
  return z.number({ error: message }).int(message).min(1, message).max(maximum, message);
}

function isHostAndPort(text: string): boolean {
  const port = Number(addressPattern.exec(text)?.[1] ?? 0);
  return port >= 1 && port <= 65_535;
}

const serviceMessage =
  'expected 1 to 63 lower-case letters, digits and hyphens that begin with a letter';
const addressMessage = 'expected host:port with a port from 1 to 65535';

const announcementSchema = z.strictObject({
  address: z.string({ error: addressMessage }).refine(isHostAndPort, addressMessage),
  connections: positiveIntegerUpTo(maximumConnections),
  service: z.string({ error: serviceMessage }).regex(servicePattern, serviceMessage),
  slots: positiveIntegerUpTo(maximumSlots),
});

/** A rejected field of an announcement. */
export interface FieldError {
  readonly field: string;
  /** States which values are accepted. */
  readonly message: string;
}

/** The result of validating an announcement. */
export type ParsedAnnouncement =
  | { readonly kind: 'valid'; readonly announcement: UpstreamAnnouncement }
  | { readonly kind: 'invalid'; readonly errors: readonly FieldError[] };

/** Validates an announcement and reports the errors of all its fields together. */
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
