import type { RandomSource } from '@peridotspring/core';
import { AllotmentAdmission, brokerGroupCount, rankBrokers } from '@peridotspring/mesh-core';
import type {
  AllotmentAskFrame,
  AllotmentGrantFrame,
  AllotmentTolerance,
  MeshNode,
  Tenant,
} from '@peridotspring/mesh-core';

export type AllotmentFrame = AllotmentAskFrame | AllotmentGrantFrame;

export interface AllotmentNodeOptions {
  readonly self: MeshNode;
  readonly tolerance: AllotmentTolerance;
  readonly tenants: readonly Tenant[];
  /** Virtual time at the start of the process. Its own clock starts at 0 with it. */
  readonly startedAt: number;
  readonly now: () => number;
  /** Whether it lends its share; otherwise it is its own broker. */
  readonly isDelegating: boolean;
  /** Number of nodes of the whole fleet, if only a part of it is modelled. */
  readonly fleetSize: number | undefined;
  readonly random: RandomSource;
  readonly send: (to: string, frame: AllotmentFrame) => boolean;
}

/** One process of a node: the decisions on allotments with the clock and the connections of that process. */
export class AllotmentNode {
  public readonly admission: AllotmentAdmission;
  private readonly connected = new Set<string>();
  private otherNodes: readonly MeshNode[] = [];
  private ranking: readonly (readonly string[])[] | undefined;

  public constructor(private readonly options: AllotmentNodeOptions) {
    const { fleetSize, isDelegating, random, self, send, tenants, tolerance } = options;
    this.admission = new AllotmentAdmission({
      brokersOf: (group) => (isDelegating ? (this.brokers[group] ?? []) : []),
      isLeaving: () => false,
      shareCount: () => fleetSize ?? this.otherNodes.length + 1,
      random,
      self,
      send: (node, frame) => this.connected.has(node) && send(node, frame),
      startedAt: this.now,
      tolerance,
    });
    this.admission.configure(tenants, this.now);
  }

  public get boot(): number {
    return this.options.self.boot;
  }

  /** Reading of the process's clock. */
  public get now(): number {
    return this.options.now() - this.options.startedAt;
  }

  public setKnownNodes(nodes: readonly MeshNode[]): void {
    this.otherNodes = nodes.filter(({ name }) => name !== this.options.self.name);
    this.ranking = undefined;
  }

  public onConnected({ boot, name }: MeshNode): void {
    this.connected.add(name);
    this.ranking = undefined;
    this.admission.onConnected(name, boot, this.now);
  }

  public onDisconnected(name: string): void {
    if (!this.connected.delete(name)) return;
    this.ranking = undefined;
    this.admission.onConnectionLost(name, this.now);
  }

  public onFrame(from: MeshNode, frame: AllotmentFrame): void {
    if (frame.kind === 'allotment-ask') this.admission.onAsk(from.name, from.boot, frame, this.now);
    else this.admission.onGrant(from.name, frame, this.now);
  }

  /** The brokers of each group, which all nodes connect to. */
  public get brokers(): readonly (readonly string[])[] {
    const { self } = this.options;
    this.ranking ??= Array.from({ length: brokerGroupCount }, (_, group) =>
      rankBrokers(group, self, this.otherNodes, (name) => this.connected.has(name)),
    );
    return this.ranking;
  }
}
