/** Timeouts, intervals and limits of homes and witnesses. */
export interface HomeSettings {
  /**
   * How long a home may accept requests after a majority of witnesses confirmed its lease. Must be the
   * same on all nodes.
   */
  readonly leaseMilliseconds: number;
  /** Interval between lease renewals while the lease is valid. */
  readonly confirmIntervalMilliseconds: number;
  /** Interval between requests for a lease while a range has none. */
  readonly confirmRetryMilliseconds: number;
  /** How far a key's creation time may be ahead of the home's wall clock. */
  readonly futureToleranceMilliseconds: number;
  /** Largest assumed difference between the wall clocks of two nodes. */
  readonly maximumClockSkewMilliseconds: number;
  /** How long the record of a key is kept. */
  readonly retentionMilliseconds: number;
  /** How long the record of a key with a creation time is kept even if the key store is full. */
  readonly minimumRetentionMilliseconds: number;
  readonly maximumRecords: number;
  /** Limit on the approximate total size of key records and recorded responses. */
  readonly keyRecordBytes: number;
  /** Largest response body that is recorded with its key. */
  readonly maximumKeptAnswerBytes: number;
  /** How long a request is queued for a range that has no valid lease. */
  readonly queueTimeoutMilliseconds: number;
  /**
   * A queued request is replied to at the latest when this much time remains until its deadline.
   */
  readonly queuedReplyMarginMilliseconds: number;
  readonly maximumQueuedRequests: number;
  readonly maximumQueuedBytes: number;
  /**
   * Retry-after time of temporary refusals. Longer than twice the clock skew, so that a retry is not
   * rejected as an attempt that may have been received before the refusal.
   */
  readonly retryAfterMilliseconds: number;
  /**
   * A needed table is proposed by the first server in rank order; each further server waits this much
   * longer before it proposes the table itself.
   */
  readonly proposalStaggerMilliseconds: number;
  readonly storeTimeoutMilliseconds: number;
  readonly storeRetryMilliseconds: number;
  /**
   * Interval at which the first server in rank order reads the table from the store, in case it
   * missed a newer one.
   */
  readonly tableRefreshMilliseconds: number;
  /**
   * How long a home may be absent from the member list, or registered for another service, before it is
   * replaced.
   */
  readonly absenceTimeoutMilliseconds: number;
  /** How long a witness may be gone before it is replaced. Longer than a restart takes. */
  readonly witnessReplacementMilliseconds: number;
  /** Interval between two hand-overs that rebalance ranges across homes. */
  readonly rebalanceIntervalMilliseconds: number;
  readonly transferResendMilliseconds: number;
  readonly transferTimeoutMilliseconds: number;
  readonly transferPartBytes: number;
}

/** Settings that apply unless an operator overrides them. */
export const defaultHomeSettings: HomeSettings = {
  absenceTimeoutMilliseconds: 10_000,
  confirmIntervalMilliseconds: 1_000,
  confirmRetryMilliseconds: 100,
  futureToleranceMilliseconds: 500,
  queuedReplyMarginMilliseconds: 100,
  queueTimeoutMilliseconds: 1_000,
  keyRecordBytes: 24 * 1024 * 1024,
  leaseMilliseconds: 3_000,
  maximumQueuedBytes: 8 * 1024 * 1024,
  maximumQueuedRequests: 1_000,
  maximumKeptAnswerBytes: 64 * 1024,
  maximumRecords: 200_000,
  minimumRetentionMilliseconds: 5 * 60 * 1_000,
  proposalStaggerMilliseconds: 1_000,
  retentionMilliseconds: 24 * 60 * 60 * 1_000,
  retryAfterMilliseconds: 1_100,
  maximumClockSkewMilliseconds: 500,
  rebalanceIntervalMilliseconds: 5_000,
  storeRetryMilliseconds: 250,
  storeTimeoutMilliseconds: 5_000,
  tableRefreshMilliseconds: 30_000,
  transferPartBytes: 256 * 1024,
  transferResendMilliseconds: 500,
  transferTimeoutMilliseconds: 3_000,
  witnessReplacementMilliseconds: 10_000,
};
