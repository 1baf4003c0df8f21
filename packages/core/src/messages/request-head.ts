export type HeaderFields = Readonly<Record<string, string | readonly string[]>>;

/**
 * The part of a request that is forwarded before its body, which is in the same frame or follows in
 * chunks.
 */
export interface RequestHead {
  readonly service: string;
  readonly method: string;
  /** Path and query as sent to the upstream. */
  readonly path: string;
  readonly headers: HeaderFields;
  readonly tenant: string;
  readonly depth: number;
  readonly requestId: string;
}
