import type { EvacuatedZone, EvacuationSnapshot } from '../messages/mesh-frames.js';

/** Era of a store that reports none. */
const unreportedEra = 0;
/**
 * Time for which an evacuation that the restored copy of the store lacks stays in force. The operator writes again
 * what the store lost.
 */
const restoreGraceMilliseconds = 5_000;
/**
 * Time for which an evacuation that the restored copy still contains is taken for one that ended. The operator removes it
 * again; if it stays, it is a new one, which may have been given the same revision.
 */
const endedGraceMilliseconds = 1_000;

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
  /** Revision of the latest evacuation of each zone whose latest evacuation has ended. */
  private readonly endedRevisions = new Map<string, number>();
  /** Zones of the snapshot that are not evacuated, because their evacuation ended before the store was restored. */
  private suppressedZones: ReadonlySet<string> = new Set();
  private eraStartedAt = Number.NEGATIVE_INFINITY;

  /** Names of all evacuated zones, in alphabetical order. */
  public get names(): readonly string[] {
    return [...new Set([...this.namesInSnapshot(), ...this.heldUntil.keys()])].sort();
  }

  /** The latest snapshot, for other nodes; undefined before the first one. */
  public latest(now: number): EvacuationSnapshot | undefined {
    if (this.snapshot === undefined) return undefined;
    const heldZones = [...this.heldUntil].map(([availabilityZone, until]) => ({
      availabilityZone,
      remainingMilliseconds: Math.max(0, until - now),
    }));
    return { ...this.snapshot, heldZones };
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
    const isNewEra = offered.era !== snapshot?.era;
    if (isNewEra) this.eraStartedAt = now;
    const offeredNames = new Set(offered.zones.map(({ availabilityZone }) => availabilityZone));
    for (const { availabilityZone: name, revision } of snapshot?.zones ?? []) {
      if (offeredNames.has(name)) continue;
      // Also a suppressed zone is held, since it may have been evacuated anew just before the store was restored once more.
      if (isNewEra) this.heldUntil.set(name, now + restoreGraceMilliseconds);
      else this.endedRevisions.set(name, revision);
    }
    // Later in an era, a peer may hold a zone whose evacuation this node has seen end.
    if (isNewEra)
      for (const { availabilityZone, remainingMilliseconds } of offered.heldZones ?? [])
        this.heldUntil.set(availabilityZone, now + remainingMilliseconds);
    this.snapshot = { era: offered.era, revision: offered.revision, zones: offered.zones };
    this.updateSuppressedZones(now);
    for (const name of endedZones) this.heldUntil.delete(name);
    return this.names.join() !== before.join();
  }

  /**
   * Ends evacuations that the operator did not write again after a restore, and begins those that the operator did not
   * remove again. Returns whether the evacuated zones have changed.
   */
  public tick(now: number): boolean {
    if (this.heldUntil.size === 0 && this.suppressedZones.size === 0) return false;
    const before = this.names;
    for (const [name, until] of this.heldUntil) if (now >= until) this.heldUntil.delete(name);
    this.updateSuppressedZones(now);
    return this.names.join() !== before.join();
  }

  private updateSuppressedZones(now: number): void {
    this.suppressedZones = this.findEndedBefore(now);
    for (const name of this.namesInSnapshot()) {
      this.heldUntil.delete(name);
      this.endedRevisions.delete(name);
    }
  }

  private namesInSnapshot(): readonly string[] {
    const names = this.snapshot?.zones.map(({ availabilityZone }) => availabilityZone) ?? [];
    return names.filter((name) => !this.suppressedZones.has(name));
  }

  /** Zones of the snapshot whose evacuation has the revision of one that ended, shortly after a restore. */
  private findEndedBefore(now: number): ReadonlySet<string> {
    if (now >= this.eraStartedAt + endedGraceMilliseconds) return new Set();
    const ended = (this.snapshot?.zones ?? []).filter(
      ({ availabilityZone, revision }) => this.endedRevisions.get(availabilityZone) === revision,
    );
    return new Set(ended.map(({ availabilityZone }) => availabilityZone));
  }
}

function isLater(offered: EvacuationSnapshot, known: EvacuationSnapshot): boolean {
  if (offered.era !== known.era) return offered.era > known.era;
  return offered.revision > known.revision;
}
