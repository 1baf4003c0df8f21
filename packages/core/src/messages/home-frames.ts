import type { HomeTable, KeyRecord } from './home-table.js';

/** A home asks a witness to confirm its lease. */
export interface HomeConfirmFrame {
  readonly kind: 'home-confirm';
  readonly service: string;
  readonly version: number;
  /**
   * Left out once the witness has accepted this version: the table takes about 1 KB, and sent with each
   * of a home's five requests a second it would take the whole control budget of 4 KB/s.
   */
  readonly table?: HomeTable | undefined;
  /** Sequence number that the promise repeats, so that the home knows when it asked. */
  readonly sequence: number;
  /** Ranges that the sender has given up in a planned stop; no promise holds for them any more. */
  readonly released: boolean;
}

/** The witness's answer: it accepted this version, or knows a newer one, or must wait. */
export interface HomePromiseFrame {
  readonly kind: 'home-promise';
  readonly service: string;
  readonly sequence: number;
  readonly accepted: boolean;
  readonly version: number;
  /** The newest table that the witness accepted, sent when it did not accept the asked one. */
  readonly table?: HomeTable | undefined;
}

/** Asks a witness which of these homes still hold a promise, before they are replaced unheard. */
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
  /** Those of the homes asked for to which this witness has promised the lease. */
  readonly bound: readonly string[];
}

export interface HomeTableRequestFrame {
  readonly kind: 'home-table-request';
  readonly service: string;
}

export interface HomeTableFrame {
  readonly kind: 'home-table';
  readonly service: string;
  readonly table: HomeTable | undefined;
}

/** Hands records of a range to its next home during a planned stop. */
export interface RecordsTransferFrame {
  readonly kind: 'records-transfer';
  readonly service: string;
  readonly range: number;
  /** Identifies this hand-over; the table that completes it names the same transfer. */
  readonly transfer: string;
  readonly part: number;
  readonly last: boolean;
  /** Wall time at or before which keys without a record have an unknown outcome. */
  readonly cutoff: number | undefined;
  /** Attempts without a record that entered at or before this wall time are void. */
  readonly voidUntil: number | undefined;
  /** Keys without a record created at or before this wall time may have been forgotten. */
  readonly forgottenUntil: number | undefined;
  readonly records: readonly KeyRecord[];
}

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
