import type { ServerIncarnation } from './identity.js';
import type { UnknownReason } from './outcome.js';

/** Number of key ranges of a service, and so the largest number of homes. */
export const homeRangeCount = 16;
/** Number of witnesses of a service; a majority confirms each lease. */
export const maximumWitnesses = 5;

/** The home of one key range. */
export interface HomeAssignment extends ServerIncarnation {
  /** Version of the table since which this home has held the range without a break. */
  readonly since: number;
  /** The transfer by which the range came in a planned hand-over; undefined after a takeover. */
  readonly transfer?: string | undefined;
}

/** Names the home of each key range of a service. Written by compare-and-swap. */
export interface HomeTable {
  readonly service: string;
  /** Raised by one with each table. */
  readonly version: number;
  /** The home of each range; undefined where the service has no server. */
  readonly ranges: readonly (HomeAssignment | undefined)[];
  /** Sets of witness servers. A lease or an activation needs a majority of every set. */
  readonly quorums: readonly (readonly string[])[];
}

/** What a home remembers of one key. */
export interface KeyRecord {
  readonly key: string;
  readonly digest: string;
  readonly state: 'running' | 'ran' | 'not-run' | 'unknown';
  /** Wall time at which the record was made or last refused. */
  readonly recordedAt: number;
  readonly status?: number | undefined;
  /** Why the outcome is not known, in the state `unknown` or without a kept answer. */
  readonly unknownReason?: UnknownReason | undefined;
  readonly headers?: Readonly<Record<string, string | readonly string[]>> | undefined;
  /** Undefined when the answer was too large or has been dropped. */
  readonly body?: Uint8Array | undefined;
}
