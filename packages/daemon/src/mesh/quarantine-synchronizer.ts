import { createHash } from 'node:crypto';

import { RequestQuarantine } from '@peridotspring/mesh-core';
import type { CrashedRun, CrashRecord, MeshNode } from '@peridotspring/mesh-core';
import type { MeshConnections } from '@peridotspring/nodes';

import { MeshEvent } from './mesh-event.js';
import { decodeStoredQuarantine, encodeStoredQuarantine } from './stored-quarantine.js';

/** Length of a digest in base64url characters: 192 bits. */
const digestLength = 32;
/** Bounds on what a peer may send. */
const maximumIdentifierLength = 256;
const maximumCrashes = 16;

/** Operations on the quarantined requests in the store, which nodes read when they start. */
export interface QuarantineStore {
  writeQuarantine(fingerprint: string, value: Uint8Array): void;
  removeQuarantine(fingerprint: string): void;
}

export interface QuarantineSynchronizerOptions {
  readonly self: MeshNode;
  readonly connections: () => Pick<MeshConnections, 'broadcast'>;
  readonly configurationVersion: () => number;
  readonly store: () => QuarantineStore;
  /** Whether this node removes records from the store that are no longer needed; only a few nodes of the fleet do. */
  readonly isRemovingRecords: () => boolean;
  readonly wallClock: () => number;
  readonly onQuarantineChanged: (now: number) => void;
  readonly log: (event: string, fields: Readonly<Record<string, string | number>>) => void;
}

/**
 * Exchanges with other nodes which requests crashed servers. Quarantined requests are also kept in the store, since all nodes may
 * restart at once.
 */
export class QuarantineSynchronizer {
  public readonly quarantine: RequestQuarantine;
  private crashes = 0;
  private released: ReadonlySet<string> = new Set();

  public constructor(private readonly options: QuarantineSynchronizerOptions) {
    this.quarantine = new RequestQuarantine({
      digest: (content) =>
        createHash('sha256').update(content).digest('base64url').slice(0, digestLength),
      onQuarantineChanged: (fingerprint, isQuarantined, now) => {
        const event = isQuarantined ? MeshEvent.RequestQuarantined : MeshEvent.RequestReleased;
        options.log(event, { fingerprint });
        if (isQuarantined) this.keepInStore(fingerprint, now);
        else if (options.isRemovingRecords()) options.store().removeQuarantine(fingerprint);
        options.onQuarantineChanged(now);
      },
    });
  }

  /** What a peer that connects needs to know. */
  public records(now: number): readonly CrashRecord[] {
    return this.quarantine.records(now);
  }

  /** The server beside this node crashed, which ended the runs. */
  public onServerCrashed(runs: readonly CrashedRun[], now: number): void {
    this.crashes += 1;
    this.quarantine.recordCrash(`${this.crashIdPrefix}${this.crashes}`, runs, now);
    this.announce(now);
  }

  /** The store holds this record of a quarantined request; invalid ones are ignored. */
  public onStoredRecord(value: Uint8Array, now: number): void {
    this.onPeerRecords([decodeStoredQuarantine(value, this.options.wallClock())], now);
  }

  /** A peer sent what it knows; invalid values are ignored. */
  public onPeerRecords(records: unknown, now: number): void {
    if (!Array.isArray(records)) return;
    const valid = (records as readonly unknown[]).filter(isCrashRecord);
    this.quarantine.merge(valid, now);
    this.announce(now);
  }

  /** The operator lists requests whose quarantine ends, on all nodes. Each takes effect when it is added. */
  public setReleased(fingerprints: readonly string[], now: number): void {
    for (const fingerprint of fingerprints)
      if (!this.released.has(fingerprint)) this.quarantine.release(fingerprint, now);
    this.released = new Set(fingerprints);
    this.announce(now);
  }

  public tick(now: number): void {
    this.quarantine.tick(now);
    this.announce(now);
  }

  /** Writes a request that became quarantined to the store if its last crash was seen by this node, so that one node does. */
  private keepInStore(fingerprint: string, now: number): void {
    const record = this.quarantine.recordOf(fingerprint, now);
    const [latest] = [...record.crashes].sort(
      (first, second) => first.ageMilliseconds - second.ageMilliseconds,
    );
    if (latest?.id.startsWith(this.crashIdPrefix) !== true) return;
    const value = encodeStoredQuarantine(record, this.options.wallClock());
    this.options.store().writeQuarantine(fingerprint, value);
  }

  private get crashIdPrefix(): string {
    const { boot, name } = this.options.self;
    return `${name}/${boot}/`;
  }

  private announce(now: number): void {
    const crashRecords = this.quarantine.takeAnnouncements(now);
    if (crashRecords.length === 0) return;
    const { configurationVersion, connections } = this.options;
    connections().broadcast({ crashRecords, kind: 'version', version: configurationVersion() });
  }
}

function isCrashRecord(value: unknown): value is CrashRecord {
  if (typeof value !== 'object' || value === null) return false;
  if (!('fingerprint' in value && 'crashes' in value)) return false;
  const { crashes, fingerprint } = value;
  if (!isIdentifier(fingerprint) || !Array.isArray(crashes)) return false;
  return crashes.length <= maximumCrashes && crashes.every(isCrashReport);
}

function isCrashReport(value: unknown): boolean {
  if (typeof value !== 'object' || value === null) return false;
  const { ageMilliseconds, id, isRefuted, runMilliseconds } = value as Readonly<
    Record<string, unknown>
  >;
  if (!isDuration(ageMilliseconds) || !isDuration(runMilliseconds)) return false;
  return isIdentifier(id) && typeof isRefuted === 'boolean';
}

function isDuration(value: unknown): boolean {
  return typeof value === 'number' && value >= 0;
}

function isIdentifier(value: unknown): value is string {
  return typeof value === 'string' && value !== '' && value.length <= maximumIdentifierLength;
}
