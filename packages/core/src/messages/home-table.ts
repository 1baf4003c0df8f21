import type { ServerIncarnation } from './identity.js';

/** Number of key ranges of a service, and so the largest number of homes. */
export const homeRangeCount = 16;
/** Number of witnesses of a service; a majority confirms each lease. */
export const maximumWitnesses = 5;

/** Names the home of each key range of a service. Written by compare-and-swap. */
export interface HomeTable {
  readonly service: string;
  /** Raised by one with each table. */
  readonly version: number;
  /** The home of each range; undefined where the service has no server. */
  readonly ranges: readonly (ServerIncarnation | undefined)[];
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
  readonly headers?: Readonly<Record<string, string | readonly string[]>> | undefined;
  /** Undefined when the answer was too large or has been dropped. */
  readonly body?: Uint8Array | undefined;
}
