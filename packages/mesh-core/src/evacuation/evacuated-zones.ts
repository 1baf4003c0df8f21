import type { EvacuatedZone, EvacuationSnapshot } from '../messages/mesh-frames.js';

/** Era of a store that reports none. */
const unreportedEra = 0;
/**
 * Time for which an evacuation that the restored copy of the store lacks stays in force. The operator writes again
 * what the store lost.
 */
const restoreGraceMilliseconds = 5_000;

/** What one response of the store shows of the evacuated zones. */
export interface EvacuationRead {
  /** Whether `zones` are all evacuated zones, rather than those that changed since the previous response. */
  readonly isComplete: boolean;
  readonly zones: readonly EvacuatedZone[];
  readonly endedZones: readonly string[];
  readonly revision: number;
}

/**
 * The availability zones that the operator has evacuated. Nodes learn of them from the store or from each other, in any
 * order: of two snapshots, the one of the later revision holds. Revisions start over when the store is restored from a
 * copy. The copy may contain an evacuation that has ended since, and lack one that began since.
 */
export class EvacuatedZones {
  private snapshot: EvacuationSnapshot | undefined;
  /** Evacuations that a restored copy of the store lacks, with the time until which they stay in force. */
  private readonly heldUntil = new Map<string, number>();
  /** Revisions of the latest evacuation of each zone that has ended. */
  private readonly endedRevisions = new Map<string, number>();

  /** Names of all evacuated zones, in alphabetical order. */
  public get names(): readonly string[] {
    const zones = this.snapshot?.zones.map(({ availabilityZone }) => availabilityZone) ?? [];
    return [...new Set([...zones, ...this.heldUntil.keys()])].sort();
  }

  /** The latest snapshot, for nodes that do not read the store; undefined before the first one. */
  public get latest(): EvacuationSnapshot | undefined {
    return this.snapshot;
  }

  /** Handles a response of the store. Returns whether the evacuated zones have changed. */
  public onStoreRead(
    { endedZones, isComplete, revision, zones }: EvacuationRead,
    storeEra: number | undefined,
    now: number,
  ): boolean {
    const era = storeEra ?? unreportedEra;
    if (isComplete) return this.offer({ era, revision, zones }, now);
    return this.applyChanges(zones, endedZones, { era, revision }, now);
  }

  /** Handles a snapshot from the store or from a peer. Returns whether the evacuated zones have changed. */
  public offer(offered: EvacuationSnapshot, now: number): boolean {
    return this.replaceSnapshot(offered, [], now);
  }

  /** Handles changes that the operator made since the latest snapshot. Returns whether the evacuated zones have changed. */
  public applyChanges(
    changed: readonly EvacuatedZone[],
    endedZones: readonly string[],
    { era, revision }: Pick<EvacuationSnapshot, 'era' | 'revision'>,
    now: number,
  ): boolean {
    const zones = new Map(this.snapshot?.zones.map((zone) => [zone.availabilityZone, zone]));
    for (const zone of changed) zones.set(zone.availabilityZone, zone);
    for (const name of endedZones) zones.delete(name);
    return this.replaceSnapshot({ era, revision, zones: [...zones.values()] }, endedZones, now);
  }

  private replaceSnapshot(
    offered: EvacuationSnapshot,
    endedZones: readonly string[],
    now: number,
  ): boolean {
    const { snapshot } = this;
    if (snapshot !== undefined && !isLater(offered, snapshot)) return false;
    const before = this.names;
    const isRestored = snapshot !== undefined && offered.era !== snapshot.era;
    // An item with the revision of an evacuation that ended belongs to a copy from before that end.
    const zones = offered.zones.filter(
      ({ availabilityZone, revision }) => this.endedRevisions.get(availabilityZone) !== revision,
    );
    const remainingNames = new Set(zones.map(({ availabilityZone }) => availabilityZone));
    for (const { availabilityZone, revision } of snapshot?.zones ?? []) {
      if (remainingNames.has(availabilityZone)) continue;
      if (isRestored) this.heldUntil.set(availabilityZone, now + restoreGraceMilliseconds);
      else this.endedRevisions.set(availabilityZone, revision);
    }
    for (const name of [...remainingNames, ...endedZones]) this.heldUntil.delete(name);
    this.snapshot = { ...offered, zones };
    return this.names.join() !== before.join();
  }

  /** Ends evacuations that the operator did not write again. Returns whether the evacuated zones have changed. */
  public tick(now: number): boolean {
    let hasChanged = false;
    for (const [name, until] of this.heldUntil) {
      if (now < until) continue;
      this.heldUntil.delete(name);
      hasChanged = true;
    }
    return hasChanged;
  }
}

function isLater(offered: EvacuationSnapshot, known: EvacuationSnapshot): boolean {
  if (offered.era !== known.era) return offered.era > known.era;
  return offered.revision > known.revision;
}
