import type { StoreEntry } from '@peridotspring/core';
import { z } from 'zod';

/** The gateway sends 64-bit integers as text; versions stay far below the exact range of numbers. */
const integer = z
  .union([z.string().regex(/^\d+$/), z.number().int().min(0)])
  .transform(Number)
  .pipe(z.number().max(Number.MAX_SAFE_INTEGER));

const keyValue = z.object({
  key: z.string(),
  value: z.string().default(''),
  version: integer.default(0),
});

/** Answer of `/v3/kv/range`. */
export const rangeReply = z.object({
  kvs: z.array(keyValue).default([]),
  more: z.boolean().default(false),
});

/** Answer of `/v3/kv/txn`; fields with their default value are left out by the gateway. */
export const transactionReply = z.object({
  succeeded: z.boolean().default(false),
  responses: z.array(z.object({ response_range: rangeReply.optional() })).default([]),
});

/** One line of a `/v3/watch` stream. */
export const watchLine = z.object({
  result: z.object({
    created: z.boolean().default(false),
    canceled: z.boolean().default(false),
    events: z
      .array(z.object({ type: z.enum(['PUT', 'DELETE']).default('PUT'), kv: keyValue }))
      .default([]),
  }),
});

/** Decodes a key and value of the gateway. */
export function toStoreEntry(found: z.output<typeof keyValue>): StoreEntry {
  return { key: decode(found.key), value: decode(found.value), version: found.version };
}

/** Encodes a key or value for the gateway. */
export function encode(text: string): string {
  return Buffer.from(text, 'utf8').toString('base64');
}

function decode(text: string): string {
  return Buffer.from(text, 'base64').toString('utf8');
}
