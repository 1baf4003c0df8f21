import { hashString } from '@peridotspring/core';

import type { MeshNode } from '../messages/mesh-frames.js';
import { isSameZone } from '../shared/same-zone.js';
import { zoneRank } from './zone-rank.js';

/** Up to this number of nodes, every node connects to every other: fewer connections would save little. */
export const maximumFullMeshNodes = 32;
/**
 * Number of gates that this node selects for each service. It is connected to more gates than that, because other
 * nodes that selected this node connect to it. With six or more gates to choose from, the best of them is seldom busy
 * while other gates of the service are idle.
 */
const gatesPerService = 6;
/**
 * Number of these gates that are in the own availability zone, if it has that many. The remaining ones are in other
 * zones and are used when the own zone has no capacity.
 */
const ownZoneGatesPerService = 4;
/** The first nodes of the own zone by rank: the two that watch the configuration in the store, and one to take over. */
const configurationWatcherCandidates = 3;
/**
 * Unreachable nodes stay selected in addition to their replacements. The number of selected nodes is at most this
 * multiple of the wanted number.
 */
const maximumSelectedFactor = 2;

interface Candidate {
  readonly name: string;
  readonly sortKey: string;
}

/** Candidates ordered by their sort key. */
class CandidateList {
  private readonly candidates: Candidate[] = [];
  private isSorted = true;

  public add(candidate: Candidate): void {
    this.candidates.push(candidate);
    this.isSorted = false;
  }

  public remove(name: string): void {
    const index = this.candidates.findIndex((candidate) => candidate.name === name);
    if (index >= 0) this.candidates.splice(index, 1);
  }

  /**
   * Adds the first `limit` reachable candidates and the unreachable ones before them to `selected`. Returns the
   * number of reachable ones.
   */
  public selectFirst(
    limit: number,
    isReachable: (name: string) => boolean,
    selected: Set<string>,
  ): number {
    this.sort();
    let reachableCount = 0;
    let selectedCount = 0;
    for (const { name } of this.candidates) {
      if (reachableCount >= limit || selectedCount >= limit * maximumSelectedFactor) break;
      selected.add(name);
      selectedCount += 1;
      if (isReachable(name)) reachableCount += 1;
    }
    return reachableCount;
  }

  private sort(): void {
    if (this.isSorted) return;
    this.candidates.sort((left, right) => (left.sortKey < right.sortKey ? -1 : 1));
    this.isSorted = true;
  }
}

/** The gates of one service, by location. */
interface ServiceGates {
  readonly ownZone: CandidateList;
  readonly otherZones: CandidateList;
}

/**
 * Selects the nodes that this node connects to: a few gates of each service, those of the own zone first, and the
 * nodes that watch the configuration for the zone. The number of connections thus does not grow with the cluster.
 * Gates are ordered by a hash of both names (rendezvous hashing), so that about equally many nodes select each
 * gate, and a node that joins or leaves changes few selections.
 */
export class PeerSelection {
  private readonly gatesByService = new Map<string, ServiceGates>();
  private readonly watcherCandidates = new CandidateList();

  public constructor(private readonly self: MeshNode) {}

  public add(node: MeshNode): void {
    const { name } = node;
    const isInOwnZone = isSameZone(node, this.self);
    const hash = hashString(`${this.self.name}/${name}`).toString(16).padStart(8, '0');
    const distance = node.region === this.self.region ? 'region' : 'world';
    const gates = this.gatesForService(node.service);
    (isInOwnZone ? gates.ownZone : gates.otherZones).add({
      name,
      sortKey: `${distance} ${hash} ${name}`,
    });
    if (isInOwnZone) this.watcherCandidates.add({ name, sortKey: zoneRank(node) });
  }

  public remove(name: string): void {
    for (const { otherZones, ownZone } of this.gatesByService.values()) {
      otherZones.remove(name);
      ownZone.remove(name);
    }
    this.watcherCandidates.remove(name);
  }

  /** The nodes to connect to. An unreachable node stays selected, and the next one is selected in addition. */
  public select(isReachable: (name: string) => boolean): ReadonlySet<string> {
    const selected = new Set<string>();
    for (const { otherZones, ownZone } of this.gatesByService.values()) {
      const ownZoneCount = ownZone.selectFirst(ownZoneGatesPerService, isReachable, selected);
      otherZones.selectFirst(gatesPerService - ownZoneCount, isReachable, selected);
    }
    this.watcherCandidates.selectFirst(configurationWatcherCandidates, isReachable, selected);
    return selected;
  }

  private gatesForService(service: string): ServiceGates {
    let gates = this.gatesByService.get(service);
    if (gates === undefined) {
      gates = { otherZones: new CandidateList(), ownZone: new CandidateList() };
      this.gatesByService.set(service, gates);
    }
    return gates;
  }
}
