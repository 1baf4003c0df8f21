import type { ServerIncarnation } from './identity.js';
import type { UnknownReason } from './outcome.js';

/** Number of key ranges of a service, and therefore its maximum number of homes. */
export const homeRangeCount = 16;
/** Maximum number of witnesses of a service; a majority of them confirms each lease. */
export const maximumWitnesses = 5;

/** The home of one key range. */
export interface HomeAssignment extends ServerIncarnation {
  /** Table version since which this home has held the range without interruption. */
  readonly since: number;
  /** Identifier of the transfer that handed over the range; undefined after a takeover. */
  readonly transfer?: string | undefined;
}

/** Assigns a home to each key range of a service. Written to the store by compare-and-swap. */
export interface HomeTable {
  readonly service: string;
  /** Incremented by one with each new table. */
  readonly version: number;
  /** The home of each range; undefined if the service has no server for it. */
  readonly ranges: readonly (HomeAssignment | undefined)[];
  /**
   * Sets of witness servers. A lease, or the activation of a table, requires a majority of every
   * set.
   */
  readonly quorums: readonly (readonly string[])[];
}

/** A home's record of one key. */
export interface KeyRecord {
  readonly key: string;
  readonly digest: string;
  readonly state: 'running' | 'ran' | 'not-run' | 'unknown';
  /** Wall time at which the record was created, or at which its request was last refused. */
  readonly recordedAt: number;
  readonly status?: number | undefined;
  /** Why the outcome is unknown, in the state `unknown` or if no response was kept. */
  readonly unknownReason?: UnknownReason | undefined;
  readonly headers?: Readonly<Record<string, string | readonly string[]>> | undefined;
  /** Response body; undefined if it was too large or has been evicted. */
  readonly body?: Uint8Array | undefined;
}
