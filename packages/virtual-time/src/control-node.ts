import {
  ConfigurationManager,
  Membership,
  SeededRandomSource,
  type ClockReading,
  type Configuration,
  type ConfigurationCommand,
  type ConfigurationFrame,
  type MemberRecord,
  type MembershipCommand,
  type MembershipFrame,
  type NodeIdentity,
  type ProposalResult,
  type ProposeConfigurationMessage,
  type Seed,
  type StoreClient,
  type StoreOperation,
  type StoreResult,
} from '@peridotspring/core';

/** Frames of the control plane. */
export type ControlFrame = MembershipFrame | ConfigurationFrame;

/** What a simulated node needs from its surroundings. */
export interface ControlNodeLinks {
  readonly send: (from: ControlNode, to: string, frame: ControlFrame) => void;
  readonly store: (
    from: ControlNode,
    client: StoreClient,
    operationId: number,
    operation: StoreOperation,
  ) => void;
  readonly memberChanged: (node: ControlNode, member: MemberRecord) => void;
  readonly inForce: (node: ControlNode, configuration: Configuration) => void;
  readonly collectionIntervalMilliseconds: number | undefined;
  readonly concluded: (node: ControlNode, proposalId: number, result: ProposalResult) => void;
}

/** Interval at which the keeper is told of its zone's members and of the watching role. */
const refreshMilliseconds = 500;

/** The membership and the configuration of one node, composed as the node's core composes them. */
export class ControlNode {
  public readonly membership: Membership;
  public readonly keeper: ConfigurationManager;
  public isRunning = true;
  /** While frozen, what arrives waits and no time passes for the node. */
  public isFrozen = false;
  public readonly inbox: (() => void)[] = [];
  public readonly counts = { frames: 0, bytes: 0 };
  private peersChanged = true;
  private nextRefreshAt = 0;

  public constructor(
    public readonly identity: NodeIdentity,
    seed: number,
    seeds: readonly Seed[],
    private readonly links: ControlNodeLinks,
  ) {
    const random = new SeededRandomSource(seed);
    this.membership = new Membership({ identity, random, seeds });
    this.keeper = new ConfigurationManager({
      random: new SeededRandomSource(seed + 1),
      server: identity.server,
      collectionIntervalMilliseconds: links.collectionIntervalMilliseconds,
    });
  }

  public get server(): string {
    return this.identity.server;
  }

  public receive(from: string, frame: ControlFrame, now: ClockReading): void {
    switch (frame.kind) {
      case 'configuration-announcement':
      case 'configuration-pull':
      case 'configuration-push':
        this.carryOut(this.keeper.handleFrame(from, frame, now), now);
        return;
      default:
        this.carryOut(this.membership.onFrame(from, frame, now), now);
    }
  }

  public peerLost(server: string, now: ClockReading): void {
    this.carryOut(this.membership.onPeerLost(server, now), now);
  }

  public storeResult(
    client: StoreClient,
    operationId: number,
    result: StoreResult,
    now: ClockReading,
  ): void {
    const subsystem = client === 'membership' ? this.membership : this.keeper;
    this.carryOut(subsystem.storeResult(operationId, result, now), now);
  }

  public propose(message: ProposeConfigurationMessage, now: ClockReading): void {
    this.carryOut(this.keeper.propose(message, now), now);
  }

  public announce(service: string, slots: number, now: ClockReading): void {
    const announcement = { service, slots, address: this.identity.peerAddress, connections: 250 };
    this.carryOut(this.membership.announce(announcement, now), now);
  }

  public setDraining(draining: boolean, now: ClockReading): void {
    this.carryOut(this.membership.setDraining(draining, now), now);
  }

  public leave(now: ClockReading): void {
    this.carryOut(this.membership.leave(now), now);
  }

  public tick(now: ClockReading): void {
    this.carryOut(this.membership.tick(now), now);
    this.carryOut(this.keeper.tick(now), now);
    if (now.monotonic < this.nextRefreshAt) return;
    this.nextRefreshAt = now.monotonic + refreshMilliseconds;
    if (this.peersChanged) this.keeper.setPeers(this.membership.zonePeers());
    this.peersChanged = false;
    this.carryOut(this.keeper.setWatching(this.membership.isBridge, now), now);
  }

  private carryOut(
    commands: readonly (MembershipCommand | ConfigurationCommand)[],
    now: ClockReading,
  ): void {
    for (const command of commands) {
      switch (command.kind) {
        case 'send':
          this.links.send(this, command.to, command.frame);
          break;
        case 'store': {
          // Only the membership's keys start with this prefix.
          const isMembership = command.operation.key.startsWith('members/');
          const client = isMembership ? 'membership' : 'configuration';
          this.links.store(this, client, command.operationId, command.operation);
          break;
        }
        case 'member-changed':
          this.links.memberChanged(this, command.member);
          this.peersChanged ||= command.member.availabilityZone === this.identity.availabilityZone;
          break;
        case 'revision-seen':
          this.carryOut(this.keeper.onRevisionObserved(command.server, command.revision, now), now);
          break;
        case 'configuration-in-force':
          this.membership.setConfigurationRevision(command.configuration.revision);
          this.links.inForce(this, command.configuration);
          break;
        case 'proposal-concluded':
          this.links.concluded(this, command.proposalId, command.result);
          break;
        case 'count':
        case 'log':
          break;
      }
    }
  }
}
