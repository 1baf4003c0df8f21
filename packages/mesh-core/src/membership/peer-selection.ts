import { hashString } from '@peridotspring/core';

import type { MeshNode } from '../messages/mesh-frames.js';
import { isSameZone } from '../shared/same-zone.js';
import { zoneRank } from './zone-rank.js';

/** A fleet of this size connects completely: fewer connections would spare little there. */
export const completeFleetNodes = 32;
/**
 * Gates of each service that a node chooses. Those that chose this node are connected too, so more are at hand:
 * among six and more the best is seldom busy while others are not.
 */
const chosenGates = 6;
/** Of these, gates in the own availability zone, if it has as many; the others are for when it has no room. */
const chosenNearGates = 4;
/** First nodes of the own zone, which watch the configuration: two, and one to take over. */
const chosenLeaders = 3;
/** Nodes that can't be reached are tried on beside those that replace them, up to this many times as many. */
const triedFactor = 2;

interface Candidate {
  readonly name: string;
  readonly order: string;
}

/** Candidates that are taken in order. */
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

  /** Adds the first so many that can be reached, and those tried before them; returns how many can be. */
  public choose(
    limit: number,
    isReachable: (name: string) => boolean,
    chosen: Set<string>,
  ): number {
    this.sort();
    let reachable = 0;
    let tried = 0;
    for (const { name } of this.candidates) {
      if (reachable >= limit || tried >= limit * triedFactor) break;
      chosen.add(name);
      tried += 1;
      if (isReachable(name)) reachable += 1;
    }
    return reachable;
  }

  private sort(): void {
    if (this.isSorted) return;
    this.candidates.sort((left, right) => (left.order < right.order ? -1 : 1));
    this.isSorted = true;
  }
}

/** The gates of one service. */
interface ServiceGates {
  readonly near: CandidateList;
  readonly far: CandidateList;
}

/**
 * Which nodes this one connects to, so that what connections cost does not grow with the fleet: a few gates of
 * each service, nearby first, and the nodes that watch the configuration for the zone. Gates are ordered by a
 * hash of both names (rendezvous hashing): each gate is chosen by about equally many nodes, and a node that
 * comes or goes changes few choices.
 */
export class PeerSelection {
  private readonly services = new Map<string, ServiceGates>();
  private readonly leaders = new CandidateList();

  public constructor(private readonly self: MeshNode) {}

  public add(node: MeshNode): void {
    const { name } = node;
    const isNear = isSameZone(node, this.self);
    const hash = hashString(`${this.self.name}/${name}`).toString(16).padStart(8, '0');
    const distance = node.region === this.self.region ? 'region' : 'world';
    const gates = this.gatesOf(node.service);
    (isNear ? gates.near : gates.far).add({ name, order: `${distance} ${hash} ${name}` });
    if (isNear) this.leaders.add({ name, order: zoneRank(node) });
  }

  public remove(name: string): void {
    for (const { far, near } of this.services.values()) {
      far.remove(name);
      near.remove(name);
    }
    this.leaders.remove(name);
  }

  /** The nodes to connect to; one that can't be reached is tried on, and the next takes its place meanwhile. */
  public select(isReachable: (name: string) => boolean): ReadonlySet<string> {
    const chosen = new Set<string>();
    for (const { far, near } of this.services.values()) {
      const nearby = near.choose(chosenNearGates, isReachable, chosen);
      far.choose(chosenGates - nearby, isReachable, chosen);
    }
    this.leaders.choose(chosenLeaders, isReachable, chosen);
    return chosen;
  }

  private gatesOf(service: string): ServiceGates {
    let gates = this.services.get(service);
    if (gates === undefined) {
      gates = { far: new CandidateList(), near: new CandidateList() };
      this.services.set(service, gates);
    }
    return gates;
  }
}
