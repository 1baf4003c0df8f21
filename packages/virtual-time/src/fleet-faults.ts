import type { NodeIdentity } from '@peridotspring/core';

import type { Fleet, FleetServer } from './fleet.js';
import { proposeChange } from './fleet-changes.js';
import type { FleetLoad } from './fleet-load.js';

/** Everything that can happen to a fleet. Each ends by itself after its duration. */
export const faultKinds = [
  'crash',
  'machine-lost',
  'freeze',
  'cut-server',
  'cut-zone',
  'cut-halves',
  'store-down',
  'store-slow',
  'store-answers-lost',
  'store-late-effects',
  'upstream-crash',
  'upstream-freeze',
  'drain',
  'stop',
  'change',
  'racing-changes',
  'surge',
] as const;

/** A kind of fault. */
export type FaultKind = (typeof faultKinds)[number];

/** One fault, then some time passes before the next. */
export interface FleetFault {
  readonly kind: FaultKind;
  /** Chooses the server that is hit. */
  readonly index: number;
  readonly durationMilliseconds: number;
  readonly waitMilliseconds: number;
}

type Cut = (from: NodeIdentity, to: NodeIdentity) => boolean;

/** Injects faults into a fleet, several at a time. */
export class FleetFaults {
  private readonly cuts = new Set<Cut>();

  public constructor(
    private readonly fleet: Fleet,
    private readonly load: FleetLoad,
  ) {}

  /** Lets the fault begin now and end after its duration. */
  public inject({ durationMilliseconds, index, kind }: FleetFault): void {
    const { fleet } = this;
    const place = fleet.servers[index % fleet.servers.length];
    if (place === undefined) return;
    const end = this.begin(kind, place, index);
    fleet.after(durationMilliseconds, end);
  }

  private begin(kind: FaultKind, place: FleetServer, index: number): () => void {
    const { fleet } = this;
    const { server } = place;
    switch (kind) {
      case 'crash':
      case 'machine-lost':
        fleet.crash(server, kind === 'machine-lost');
        return () => {
          fleet.start(server);
        };
      case 'freeze':
        fleet.freeze(server);
        return () => {
          fleet.resume(server);
        };
      case 'stop':
        return this.stop(server);
      case 'cut-server':
      case 'cut-zone':
      case 'cut-halves':
        return this.cut(kind, place);
      case 'upstream-crash':
      case 'upstream-freeze':
      case 'drain':
        return this.beginAtUpstream(kind, server);
      case 'change':
      case 'racing-changes':
        this.propose(index, kind === 'racing-changes');
        return () => undefined;
      case 'surge':
        this.load.surge(place.service);
        return () => undefined;
      default:
        return this.beginAtStore(kind);
    }
  }

  private stop(server: string): () => void {
    const { fleet } = this;
    const restart = (): void => {
      if (fleet.node(server)?.core.isStopping === true) fleet.after(500, restart);
      else fleet.start(server);
    };
    fleet.stop(server);
    return restart;
  }

  private cut(kind: FaultKind, { availabilityZone, server }: FleetServer): () => void {
    const half = new Set(
      this.fleet.servers.filter((_, position) => position % 2 === 0).map((other) => other.server),
    );
    const isInside = (node: NodeIdentity): boolean => {
      if (kind === 'cut-halves') return half.has(node.server);
      return kind === 'cut-zone'
        ? node.availabilityZone === availabilityZone
        : node.server === server;
    };
    const cut: Cut = (from, to) => isInside(from) !== isInside(to);
    this.cuts.add(cut);
    this.applyCuts();
    return () => {
      this.cuts.delete(cut);
      this.applyCuts();
    };
  }

  private applyCuts(): void {
    const cuts = [...this.cuts];
    this.fleet.network.setCut((from, to) => cuts.some((cut) => cut(from, to)));
  }

  private beginAtUpstream(
    kind: 'drain' | 'upstream-crash' | 'upstream-freeze',
    server: string,
  ): () => void {
    const upstream = this.fleet.upstreams.get(server);
    switch (kind) {
      case 'drain':
        upstream?.setDraining(true);
        return () => upstream?.setDraining(false);
      case 'upstream-crash':
        upstream?.crash();
        return () => upstream?.restart();
      case 'upstream-freeze':
        upstream?.freeze();
        return () => upstream?.resume();
    }
  }

  private beginAtStore(
    kind: 'store-answers-lost' | 'store-down' | 'store-late-effects' | 'store-slow',
  ): () => void {
    const { faults } = this.fleet.store;
    switch (kind) {
      case 'store-down':
        faults.down = true;
        this.fleet.store.cutWatches();
        break;
      case 'store-slow':
        faults.slowMilliseconds = 500;
        break;
      case 'store-answers-lost':
        faults.lostAnswers = 0.5;
        break;
      case 'store-late-effects':
        Object.assign(faults, { duplicates: 0.5, lateEffects: 0.3, lateWatches: 0.5 });
    }
    return () => {
      const none = { duplicates: 0, lateEffects: 0, lateWatches: 0 };
      Object.assign(faults, { ...none, down: false, lostAnswers: 0, slowMilliseconds: 0 });
    };
  }

  /** Two operators that race change the same service at different nodes. */
  private propose(index: number, isRacing: boolean): void {
    const { running, servers } = this.fleet;
    const services = [...new Set(servers.map(({ service }) => service))];
    const service = services[index % services.length] ?? '';
    const [first, second] = [
      running[index % running.length],
      running[(index + 1) % running.length],
    ];
    if (first !== undefined) proposeChange(this.fleet, first, [service, `extra-${index}`]);
    if (isRacing && second !== undefined) proposeChange(this.fleet, second, [service]);
  }
}
