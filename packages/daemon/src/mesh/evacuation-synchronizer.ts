import { EvacuatedZones } from '@peridotspring/mesh-core';
import type { EvacuationRead, EvacuationSnapshot } from '@peridotspring/mesh-core';
import type { MeshConnections } from '@peridotspring/nodes';

import { MeshEvent } from './mesh-event.js';

export interface EvacuationSynchronizerOptions {
  readonly connections: () => Pick<MeshConnections, 'broadcast'>;
  readonly configurationVersion: () => number;
  /** Called with the names of all evacuated zones when they have changed. */
  readonly onChange: (availabilityZones: readonly string[], now: number) => void;
  readonly log: (event: string, fields: Readonly<Record<string, string | number>>) => void;
}

/**
 * Keeps the evacuated zones up to date. They come from the store if this node watches it, and from peers otherwise.
 */
export class EvacuationSynchronizer {
  private readonly zones = new EvacuatedZones();

  public constructor(private readonly options: EvacuationSynchronizerOptions) {}

  public get names(): readonly string[] {
    return this.zones.names;
  }

  /** What a peer needs in order to know the evacuated zones. */
  public snapshot(now: number): EvacuationSnapshot | undefined {
    return this.zones.latest(now);
  }

  public onStoreRead(read: EvacuationRead, storeEra: number | undefined, now: number): void {
    if (this.zones.onStoreRead(read, storeEra, now)) this.publish('store', now);
  }

  /** A peer sent the evacuated zones that it knows of; invalid values are ignored. */
  public onPeerSnapshot(snapshot: unknown, peer: string, now: number): void {
    if (!isEvacuationSnapshot(snapshot)) return;
    if (this.zones.offer(snapshot, now)) this.publish(peer, now);
  }

  public tick(now: number): void {
    if (this.zones.tick(now)) this.publish('restored store', now);
  }

  private publish(source: string, now: number): void {
    const { configurationVersion, connections, log, onChange } = this.options;
    const { names } = this;
    const evacuations = this.snapshot(now);
    log(MeshEvent.EvacuationsChanged, {
      revision: evacuations?.revision ?? 0,
      source,
      zones: names.join(),
    });
    onChange(names, now);
    connections().broadcast({ evacuations, kind: 'version', version: configurationVersion() });
  }
}

function isEvacuationSnapshot(value: unknown): value is EvacuationSnapshot {
  if (typeof value !== 'object' || value === null) return false;
  if (!('era' in value && 'revision' in value && 'zones' in value)) return false;
  if (!Number.isSafeInteger(value.era) || !Number.isSafeInteger(value.revision)) return false;
  const heldZones = 'heldZones' in value ? (value.heldZones ?? []) : [];
  if (!Array.isArray(heldZones) || !heldZones.every(isHeldZone)) return false;
  return Array.isArray(value.zones) && value.zones.every(isEvacuatedZone);
}

function isHeldZone(value: unknown): boolean {
  return isZone(value) && Number.isFinite(value.remainingMilliseconds);
}

function isEvacuatedZone(value: unknown): boolean {
  return isZone(value) && Number.isSafeInteger(value.revision);
}

/** Whether the value names an availability zone; its other fields may have any value or be missing. */
function isZone(
  value: unknown,
): value is Readonly<Record<'remainingMilliseconds' | 'revision', unknown>> {
  if (typeof value !== 'object' || value === null) return false;
  return 'availabilityZone' in value && typeof value.availabilityZone === 'string';
}
