/** Durations and bounds of the homes. All times are in milliseconds. */
export interface HomeSettings {
  /** How long a majority's confirmation lets a home accept requests. Equal on all nodes. */
  readonly leaseMilliseconds: number;
  /** Time between two rounds of confirmation while the lease is valid. */
  readonly confirmIntervalMilliseconds: number;
  /** Time between two rounds while a range waits for its lease. */
  readonly confirmRetryMilliseconds: number;
  /** How far ahead of the home's wall clock a key's creation time may be. */
  readonly futureToleranceMilliseconds: number;
  /** Bound on the difference between two nodes' wall clocks. */
  readonly skewMilliseconds: number;
  /** How long keys are remembered. */
  readonly retentionMilliseconds: number;
  /** How long a key with a creation time is remembered even when there is no room for new ones. */
  readonly minimumRetentionMilliseconds: number;
  readonly maximumRecords: number;
  readonly keyRecordBytes: number;
  /** Largest answer that is kept with its key. */
  readonly maximumKeptAnswerBytes: number;
  /** How long a request waits for a range whose lease is missing. */
  readonly holdMilliseconds: number;
  /** A request that waits is answered at the latest when this much of its time remains. */
  readonly heldReplyMilliseconds: number;
  readonly maximumHeldRequests: number;
  readonly maximumHeldBytes: number;
  /** Advice to callers with a temporary refusal; longer than twice the skew, so that the void rule has ended. */
  readonly retryAfterMilliseconds: number;
  /** Delay by which each further server in rank order proposes a table that the first did not write. */
  readonly proposalStaggerMilliseconds: number;
  readonly storeTimeoutMilliseconds: number;
  readonly storeRetryMilliseconds: number;
  /** How often the first server in rank order reads the table to find out that its own is old. */
  readonly tableRefreshMilliseconds: number;
  /** How long a home may be missing from the members, or serve another service, before it is replaced. */
  readonly absentMilliseconds: number;
  /** How long a witness may be gone before it is replaced; a restart takes less. */
  readonly witnessReplaceMilliseconds: number;
  /** Time between two hand-overs that spread ranges over more homes. */
  readonly spreadIntervalMilliseconds: number;
  readonly transferResendMilliseconds: number;
  readonly transferTimeoutMilliseconds: number;
  readonly transferPartBytes: number;
}

/** Settings used where an operator sets nothing. */
export const defaultHomeSettings: HomeSettings = {
  absentMilliseconds: 10_000,
  confirmIntervalMilliseconds: 1_000,
  confirmRetryMilliseconds: 100,
  futureToleranceMilliseconds: 500,
  heldReplyMilliseconds: 100,
  holdMilliseconds: 1_000,
  keyRecordBytes: 24 * 1024 * 1024,
  leaseMilliseconds: 3_000,
  maximumHeldBytes: 8 * 1024 * 1024,
  maximumHeldRequests: 1_000,
  maximumKeptAnswerBytes: 64 * 1024,
  maximumRecords: 200_000,
  minimumRetentionMilliseconds: 5 * 60 * 1_000,
  proposalStaggerMilliseconds: 1_000,
  retentionMilliseconds: 24 * 60 * 60 * 1_000,
  retryAfterMilliseconds: 1_100,
  skewMilliseconds: 500,
  spreadIntervalMilliseconds: 5_000,
  storeRetryMilliseconds: 250,
  storeTimeoutMilliseconds: 5_000,
  tableRefreshMilliseconds: 30_000,
  transferPartBytes: 256 * 1024,
  transferResendMilliseconds: 500,
  transferTimeoutMilliseconds: 3_000,
  witnessReplaceMilliseconds: 10_000,
};
