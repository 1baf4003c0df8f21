import type { HomeTable, KeyRecord } from './home-table.js';

/** Sent by a home to ask a witness to confirm its lease. */
export interface HomeConfirmFrame {
  readonly kind: 'home-confirm';
  readonly service: string;
  /** Version of the home table under which the lease is requested. */
  readonly version: number;
  /**
   * Omitted once the witness has accepted this version. The table takes about 1 KB; sent with each of a
   * home's five requests per second it would use up the control traffic budget of 4 KB/s.
   */
  readonly table?: HomeTable | undefined;
  /** Repeated in the promise, so that the home knows when the confirmed request was sent. */
  readonly sequence: number;
  /**
   * Whether the sender has released its ranges in a graceful shutdown, which ends the lease
   * promised to it.
   */
  readonly released: boolean;
}

/** A witness's reply: it promises the lease, or declines because it has a newer table or must wait. */
export interface HomePromiseFrame {
  readonly kind: 'home-promise';
  readonly service: string;
  readonly sequence: number;
  readonly accepted: boolean;
  readonly version: number;
  /** The newest table that the witness accepted; sent if it did not accept the requested version. */
  readonly table?: HomeTable | undefined;
}

/**
 * Asks a witness which of these unresponsive homes still hold its lease promise, before they are
 * replaced.
 */
export interface HomeLeaseQuestionFrame {
  readonly kind: 'home-lease-question';
  readonly service: string;
  readonly round: number;
  readonly homes: readonly string[];
}

export interface HomeLeaseAnswerFrame {
  readonly kind: 'home-lease-answer';
  readonly service: string;
  readonly round: number;
  /** The queried homes to which this witness is still bound by an unexpired lease promise. */
  readonly bound: readonly string[];
}

/** Asks a node for its newest home table of a service. */
export interface HomeTableRequestFrame {
  readonly kind: 'home-table-request';
  readonly service: string;
}

export interface HomeTableFrame {
  readonly kind: 'home-table';
  readonly service: string;
  readonly table: HomeTable | undefined;
}

/** Hands over key records of a range to its next home during a graceful shutdown. */
export interface RecordsTransferFrame {
  readonly kind: 'records-transfer';
  readonly service: string;
  readonly range: number;
  /** Identifies this hand-over; the home table that completes it contains the same identifier. */
  readonly transfer: string;
  readonly part: number;
  readonly last: boolean;
  /** Keys without a record that were created at or before this wall time have an unknown outcome. */
  readonly cutoff: number | undefined;
  /** Attempts without a record that an entry received at or before this wall time are void. */
  readonly voidUntil: number | undefined;
  /**
   * Keys without a record that were created at or before this wall time may have had one that was
   * evicted.
   */
  readonly forgottenUntil: number | undefined;
  readonly records: readonly KeyRecord[];
}

/** Acknowledges one part of a `records-transfer`. */
export interface RecordsReceivedFrame {
  readonly kind: 'records-received';
  readonly service: string;
  readonly range: number;
  readonly transfer: string;
  readonly part: number;
}

export type HomeFrame =
  | HomeConfirmFrame
  | HomePromiseFrame
  | HomeLeaseQuestionFrame
  | HomeLeaseAnswerFrame
  | HomeTableRequestFrame
  | HomeTableFrame
  | RecordsTransferFrame
  | RecordsReceivedFrame;
