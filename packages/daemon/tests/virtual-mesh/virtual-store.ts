import type { EvacuationRead, MeshNode } from '@peridotspring/mesh-core';

/** The content of the store since a point in time. */
interface StoreSnapshot {
  readonly since: number;
  readonly entries: ReadonlyMap<string, MeshNode>;
  readonly recordEras: ReadonlyMap<string, number>;
  readonly departures: ReadonlyMap<string, Uint8Array>;
  readonly evacuatedZones: ReadonlyMap<string, number>;
  readonly revision: number;
  readonly version: number;
}

/** The platform's store in virtual time: entries of nodes, the configuration, and evacuated zones. */
export class VirtualStore {
  public era = 1;
  /** The version of the configuration. */
  public version = 0;
  /** Whether records of departed servers are lost although they were acknowledged, to show what they are needed for. */
  public forgetsDepartures = false;
  /** Quarantined requests, by fingerprint. */
  public readonly quarantines = new Map<string, Uint8Array>();
  private entries = new Map<string, MeshNode>();
  /** The era in the entry of each node. */
  private recordEras = new Map<string, number>();
  /** Records of departed servers, by name. */
  private departures = new Map<string, Uint8Array>();
  /** Evacuated zones with the revision at which each was evacuated. */
  private evacuatedZones = new Map<string, number>();
  private revision = 1;
  private readonly snapshots: StoreSnapshot[] = [];

  public constructor(private readonly clock: () => number) {}

  public get nodes(): Iterable<MeshNode> {
    return this.entries.values();
  }

  public hasNode(name: string): boolean {
    return this.entries.has(name);
  }

  /** All evacuated zones, as a node reads them. */
  public get evacuations(): EvacuationRead {
    const zones = [...this.evacuatedZones].map(([availabilityZone, revision]) => ({
      availabilityZone,
      revision,
    }));
    return { endedZones: [], isComplete: true, revision: this.revision, zones };
  }

  public writeConfiguration(version: number): void {
    this.version = version;
    this.saveSnapshot();
  }

  public writeNode(node: MeshNode): void {
    const isNew = !this.entries.has(node.name);
    this.entries.set(node.name, node);
    if (isNew) this.saveSnapshot();
  }

  public recordsEraOf(name: string): number | undefined {
    return this.recordEras.get(name);
  }

  public writeRecordsEra(name: string, era: number): void {
    this.recordEras.set(name, era);
    this.saveSnapshot();
  }

  /** Removes the entry of a node if it is that of the given incarnation. */
  public removeNode({ boot, name }: MeshNode): void {
    if (this.entries.get(name)?.boot !== boot) return;
    this.entries.delete(name);
    this.recordEras.delete(name);
    this.saveSnapshot();
  }

  public writeDeparture(name: string, value: Uint8Array): void {
    if (this.forgetsDepartures) return;
    this.departures.set(name, value);
    this.saveSnapshot();
  }

  public readDepartures(group: string): readonly Uint8Array[] {
    return [...this.departures]
      .filter(([name]) => name.startsWith(`${group}/`))
      .map(([, value]) => value);
  }

  /** Makes the evacuated zones those that the operator wants; each that is new gets a revision of its own. */
  public writeEvacuations(wantedZones: ReadonlySet<string>): void {
    for (const zone of this.evacuatedZones.keys()) {
      if (wantedZones.has(zone)) continue;
      this.revision += 1;
      this.evacuatedZones.delete(zone);
    }
    for (const zone of wantedZones) {
      if (this.evacuatedZones.has(zone)) continue;
      this.revision += 1;
      this.evacuatedZones.set(zone, this.revision);
    }
    this.saveSnapshot();
  }

  /** Returns to the content of some time ago, or to the oldest kept. Revisions since then are given out again. */
  public restore(millisecondsAgo: number): void {
    const latest = this.clock() - millisecondsAgo;
    const snapshot = this.snapshots.findLast(({ since }) => since <= latest) ?? this.snapshots[0];
    if (snapshot === undefined) return;
    this.era += 1;
    this.departures = new Map(snapshot.departures);
    this.entries = new Map(snapshot.entries);
    this.recordEras = new Map(snapshot.recordEras);
    this.evacuatedZones = new Map(snapshot.evacuatedZones);
    this.revision = snapshot.revision;
    this.version = snapshot.version;
  }

  private saveSnapshot(): void {
    const { departures, entries, evacuatedZones, recordEras, revision, version } = this;
    this.snapshots.push({
      departures: new Map(departures),
      entries: new Map(entries),
      evacuatedZones: new Map(evacuatedZones),
      recordEras: new Map(recordEras),
      revision,
      since: this.clock(),
      version,
    });
  }
}
