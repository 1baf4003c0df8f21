import { z } from 'zod';

/** The gateway sends 64-bit integers as text and accepts both forms. */
const integer = z.union([z.number().int(), z.string().regex(/^-?\d+$/)]).transform(String);
const base64 = z.string();

/** Body of `/v3/kv/range`. */
export const rangeRequest = z.object({
  key: base64,
  range_end: base64.default(''),
  limit: integer.default('0'),
  keys_only: z.boolean().default(false),
});

const putRequest = z.object({
  key: base64,
  value: base64.default(''),
  lease: integer.default('0'),
});

const deleteRequest = z.object({ key: base64 });

const requestOperation = z.union([
  z.object({ requestPut: putRequest }),
  z.object({ request_put: putRequest }).transform((operation) => ({
    requestPut: operation.request_put,
  })),
  z.object({ requestRange: rangeRequest }),
  z.object({ request_range: rangeRequest }).transform((operation) => ({
    requestRange: operation.request_range,
  })),
  z.object({ requestDeleteRange: deleteRequest }),
  z.object({ request_delete_range: deleteRequest }).transform((operation) => ({
    requestDeleteRange: operation.request_delete_range,
  })),
]);
/** One operation of a transaction. */
export type RequestOperation = z.output<typeof requestOperation>;

/** Body of `/v3/kv/txn`. Only equality of versions is compared. */
export const transactionRequest = z.object({
  compare: z
    .array(
      z.object({
        key: base64,
        target: z.literal('VERSION'),
        result: z.literal('EQUAL').default('EQUAL'),
        version: integer.default('0'),
      }),
    )
    .default([]),
  success: z.array(requestOperation).default([]),
  failure: z.array(requestOperation).default([]),
});
/** A parsed transaction. */
export type TransactionRequest = z.output<typeof transactionRequest>;

/** Body of `/v3/watch`. */
export const watchRequest = z.object({
  create_request: z.object({ key: base64, start_revision: integer.default('0') }),
});

/** Body of `/v3/lease/grant`. */
export const leaseGrantRequest = z.object({ TTL: integer });
/** Body of `/v3/lease/keepalive` and `/v3/lease/revoke`. */
export const leaseRequest = z.object({ ID: integer });

/** Faults that the control endpoint injects; a second request with other numbers replaces the first. */
export const platformFault = z.discriminatedUnion('kind', [
  /** Connections are closed without an answer and watches are cut, until `active` is false. */
  z.object({ kind: z.literal('down'), active: z.boolean() }),
  /** Every call waits, before it takes effect or between its effect and its answer. */
  z.object({
    kind: z.literal('slow'),
    milliseconds: z.number().min(0),
    when: z.enum(['before-effect', 'after-effect']).default('before-effect'),
  }),
  /** The next transactions take effect and their connection is closed without an answer. */
  z.object({ kind: z.literal('lose-answers'), transactions: z.number().int().min(0) }),
  /** Every open watch stream is closed. */
  z.object({ kind: z.literal('cut-watches') }),
  /** Watch streams stay open and carry nothing, until `active` is false. */
  z.object({ kind: z.literal('mute-watches'), active: z.boolean() }),
  /** The lease, or every lease, lapses now. */
  z.object({ kind: z.literal('lapse-lease'), lease: z.string().optional() }),
]);
/** A fault of the platform stand-in. */
export type PlatformFault = z.input<typeof platformFault>;
