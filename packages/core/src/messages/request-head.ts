export type HeaderFields = Readonly<Record<string, string | readonly string[]>>;

/** What is sent on of a request; the body follows in the same frame or as chunks. */
export interface RequestHead {
  readonly service: string;
  readonly method: string;
  /** Path and query as the upstream sees them. */
  readonly path: string;
  readonly headers: HeaderFields;
  readonly tenant: string;
  readonly depth: number;
  readonly requestId: string;
}
