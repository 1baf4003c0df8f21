import type { StoreEntry } from '@peridotspring/core';
import { z } from 'zod';

/** The gateway encodes 64-bit integers as strings; versions stay far below `Number.MAX_SAFE_INTEGER`. */
const integerSchema = z
  .union([z.string().regex(/^\d+$/), z.number().int().min(0)])
  .transform(Number)
  .pipe(z.number().max(Number.MAX_SAFE_INTEGER));

const keyValueSchema = z.object({
  key: z.string(),
  value: z.string().default(''),
  version: integerSchema.default(0),
});

/** Response of `/v3/kv/range`. */
export const rangeResponseSchema = z.object({
  kvs: z.array(keyValueSchema).default([]),
  more: z.boolean().default(false),
});

/** Response of `/v3/kv/txn`; the gateway omits fields that have their default value. */
export const transactionResponseSchema = z.object({
  succeeded: z.boolean().default(false),
  responses: z.array(z.object({ response_range: rangeResponseSchema.optional() })).default([]),
});

/** One line of a `/v3/watch` stream. */
export const watchMessageSchema = z.object({
  result: z.object({
    created: z.boolean().default(false),
    canceled: z.boolean().default(false),
    events: z
      .array(z.object({ type: z.enum(['PUT', 'DELETE']).default('PUT'), kv: keyValueSchema }))
      .default([]),
  }),
});

/** Decodes a key-value pair from the gateway. */
export function toStoreEntry(encoded: z.output<typeof keyValueSchema>): StoreEntry {
  return {
    key: decodeBase64(encoded.key),
    value: decodeBase64(encoded.value),
    version: encoded.version,
  };
}

/** Encodes a key or value for the gateway. */
export function encodeBase64(text: string): string {
  return Buffer.from(text, 'utf8').toString('base64');
}

function decodeBase64(text: string): string {
  return Buffer.from(text, 'base64').toString('utf8');
}
