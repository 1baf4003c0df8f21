import type { MembershipFrame, MemberUpdatesFrame } from '../messages/frames.js';
import type { NodeIdentity } from '../messages/identity.js';
import { MemberState, type MemberRecord, type UpstreamAnnouncement } from '../messages/member.js';
import type { StoreResult } from '../messages/store.js';
import { assertInvariant } from '../shared/invariant-error.js';
import type { ClockReading } from '../shared/clock-reading.js';
import type { RandomSource } from '../shared/random-source.js';
import { StoreRequests } from '../shared/store-requests.js';
import { Timers } from '../shared/timers.js';
import { FailureDetector } from './failure-detector.js';
import { AntiEntropy } from './anti-entropy.js';
import { isLive } from './record-version.js';
import { MemberTable } from './member-table.js';
import type { MembershipCommand, MembershipContract } from './membership-contract.js';
import type { MembershipContext, RecordOrigin } from './membership-context.js';
import { PingHandler } from './ping-handler.js';
import { OwnRecordManager } from './own-record-manager.js';
import { GossipDisseminator } from './gossip-disseminator.js';
import type { Seed } from './seed-encoding.js';
import { SeedDiscovery } from './seed-discovery.js';
import { ZoneBridge } from './zone-bridge.js';
import { ZoneReachabilityTracker } from './zone-reachability-tracker.js';
import type { MemberEntry, ZoneMembers } from './zone-members.js';

/** Options of {@link Membership}. */
export interface MembershipOptions {
  readonly identity: NodeIdentity;
  readonly random: RandomSource;
  /**
   * Members to contact at start besides those in the store, so that a node can join during a store
   * outage.
   */
  readonly seeds?: readonly Seed[] | undefined;
}

/**
 * Gap between ticks that counts as a pause of the process; ticks normally come at least every 50 ms.
 */
const pauseThresholdMilliseconds = 1_000;
const slowTickIntervalMilliseconds = 100;
/** Time allowed after the first member of the zone is known for the others to become known. */
const joinDelayMilliseconds = 1_000;

/** SWIM-like membership: the list of members and their liveness, kept by pings and gossip. */
export class Membership implements MembershipContract {
  private commands: MembershipCommand[] = [];
  private readonly timers = new Timers();
  private readonly storeRequests = new StoreRequests((command) => this.commands.push(command));
  private readonly table = new MemberTable();
  private readonly context: MembershipContext;
  private readonly disseminator: GossipDisseminator;
  private readonly ownRecordManager: OwnRecordManager;
  private readonly reachability: ZoneReachabilityTracker;
  private readonly detector: FailureDetector;
  private readonly antiEntropy: AntiEntropy;
  private readonly bridge: ZoneBridge;
  private readonly pingHandler: PingHandler;
  private readonly seedDiscovery: SeedDiscovery;
  private readonly server: string;
  private readonly ownEntry: MemberEntry;
  private readonly ownZone: ZoneMembers;
  private nextSlowTickAt = 0;
  private configurationRevision = 0;
  private lastTickAt: number | undefined;
  private hasJoined = false;
  private isJoining = false;

  public constructor(private readonly options: MembershipOptions) {
    const { identity } = options;
    this.server = identity.server;
    const start = { monotonic: 0, wall: identity.incarnation };
    const ownEntry = this.table.apply(OwnRecordManager.initial(identity), start)?.entry;
    const ownZone = this.table.zone(identity.availabilityZone);
    assertInvariant(
      ownEntry !== undefined && ownZone !== undefined,
      'an empty member table must accept any record',
    );
    this.ownEntry = ownEntry;
    this.ownZone = ownZone;
    this.context = this.buildContext();
    this.disseminator = new GossipDisseminator(this.context);
    this.ownRecordManager = new OwnRecordManager(this.context, this.disseminator);
    this.reachability = new ZoneReachabilityTracker(
      this.context,
      this.disseminator,
      (member, reachable) => this.commands.push({ kind: 'member-changed', member, reachable }),
    );
    this.detector = new FailureDetector(this.context, this.disseminator.pendingUpdates);
    this.antiEntropy = new AntiEntropy(this.context);
    const { context, disseminator, detector, antiEntropy } = this;
    this.bridge = new ZoneBridge(context, detector, antiEntropy, (zone, isReachable, now) => {
      this.reachability.setReachable(zone, isReachable, this.bridge, now);
    });
    const { bridge } = this;
    const onRevisionDiffers = (server: string, revision: number): void => {
      this.commands.push({ kind: 'revision-seen', server, revision });
    };
    this.pingHandler = new PingHandler({
      context,
      disseminator,
      detector,
      antiEntropy,
      bridge,
      onRevisionDiffers,
    });
    this.seedDiscovery = new SeedDiscovery(context, this.storeRequests, this.timers, {
      contact: (seed, shouldSync) => {
        this.contactSeed(seed, shouldSync);
      },
      onFinished: () => {
        this.hasJoined = true;
      },
    });
  }

  public get isBridge(): boolean {
    return this.hasJoined && this.ownZone.isBridge(this.ownEntry);
  }

  public onFrame(
    from: string,
    frame: MembershipFrame,
    now: ClockReading,
  ): readonly MembershipCommand[] {
    switch (frame.kind) {
      case 'ping':
        this.applyUpdates(from, frame.updates, now);
        this.pingHandler.onPing(from, frame);
        break;
      case 'acknowledgement':
        this.applyUpdates(from, frame.updates, now);
        this.pingHandler.onAcknowledgement(from, frame, now);
        break;
      case 'ping-request':
        this.detector.relayPing(from, frame.sequence, frame.target, now);
        break;
      case 'member-updates':
        this.onMemberUpdates(from, frame, now);
        break;
      case 'member-sync':
        this.antiEntropy.onFrame(from, frame, now);
        break;
    }
    return this.takeCommands();
  }

  public onPeerLost(server: string, now: ClockReading): readonly MembershipCommand[] {
    const entry = this.table.get(server);
    const isOwnZone = entry?.record.availabilityZone === this.ownZone.name;
    if (entry !== undefined && isOwnZone && isLive(entry.record) && server !== this.server) {
      this.detector.probe(entry, now);
    }
    return this.takeCommands();
  }

  public storeResult(
    operationId: number,
    result: StoreResult,
    now: ClockReading,
  ): readonly MembershipCommand[] {
    this.storeRequests.handleResult(operationId, result, now);
    return this.takeCommands();
  }

  public announce(
    announcement: UpstreamAnnouncement,
    now: ClockReading,
  ): readonly MembershipCommand[] {
    this.ownRecordManager.announce(announcement, now);
    return this.takeCommands();
  }

  public setDraining(isDraining: boolean, now: ClockReading): readonly MembershipCommand[] {
    this.ownRecordManager.setDraining(isDraining, now);
    return this.takeCommands();
  }

  public leave(now: ClockReading): readonly MembershipCommand[] {
    this.ownRecordManager.leave(now);
    return this.takeCommands();
  }

  public setConfigurationRevision(revision: number): void {
    this.configurationRevision = revision;
  }

  public tick(now: ClockReading): readonly MembershipCommand[] {
    const gap = now.monotonic - (this.lastTickAt ?? now.monotonic);
    if (this.lastTickAt === undefined) this.start(now);
    this.lastTickAt = now.monotonic;
    if (gap > pauseThresholdMilliseconds) {
      this.detector.onPaused(gap);
      this.bridge.onPaused();
    }
    this.storeRequests.tick(now);
    this.timers.tick(now);
    if (isLive(this.ownEntry.record)) {
      this.detector.tick(now);
      if (now.monotonic >= this.nextSlowTickAt) this.slowTick(now);
    }
    return this.takeCommands();
  }

  public get nextTickAt(): number {
    if (this.lastTickAt === undefined) return Number.NEGATIVE_INFINITY;
    const nextDeadline = Math.min(this.storeRequests.nextDeadline, this.timers.nextDueAt);
    if (!isLive(this.ownEntry.record)) return nextDeadline;
    return Math.min(nextDeadline, this.detector.nextTickAt, this.nextSlowTickAt);
  }

  public members(): readonly MemberRecord[] {
    return this.table.records();
  }

  public member(server: string): MemberRecord | undefined {
    return this.table.get(server)?.record;
  }

  /** Whether the bridges of the own zone can reach the given zone. */
  public isReachable(availabilityZone: string): boolean {
    const zone = this.table.zone(availabilityZone);
    return zone !== undefined && this.table.isReachable(zone);
  }

  /** Servers of the other live members of the own availability zone, for gossip within the zone. */
  public zonePeers(): readonly string[] {
    const servers = this.ownZone.live.map((entry) => entry.record.server);
    return servers.filter((server) => server !== this.server);
  }

  private buildContext(): MembershipContext {
    return {
      table: this.table,
      random: this.options.random,
      self: () => this.ownEntry,
      ownZone: () => this.ownZone,
      configurationRevision: () => this.configurationRevision,
      send: ({ server, peerAddress }, frame) =>
        this.commands.push({ kind: 'send', to: server, address: peerAddress, frame }),
      applyRecord: (record, origin, now) => this.applyRecord(record, origin, now),
      count: (counter, amount = 1) =>
        this.commands.push({ kind: 'count', counter, labels: {}, by: amount }),
      logEvent: (event, fields) =>
        this.commands.push({ kind: 'log', level: 'info', event, fields }),
    };
  }

  /** Runs the tasks whose intervals are seconds, which need not be checked in every tick. */
  private slowTick(now: ClockReading): void {
    this.nextSlowTickAt = now.monotonic + slowTickIntervalMilliseconds;
    const { isBridge } = this;
    this.antiEntropy.tick(now);
    this.bridge.tick(isBridge, now);
    this.reachability.tick(isBridge, this.bridge, now);
    this.seedDiscovery.tick(isBridge, now);
    this.pingHandler.pingDepartedMember(now);
  }

  private start(now: ClockReading): void {
    for (const seed of this.options.seeds ?? []) {
      if (seed.server !== this.server) this.contactSeed(seed, true);
    }
    this.seedDiscovery.start(now);
  }

  private contactSeed(seed: Seed, shouldSync: boolean): void {
    const target = { ...this.ownEntry.record, server: seed.server, peerAddress: seed.address };
    this.context.send(target, { kind: 'member-updates', updates: [this.ownEntry.record] });
    if (shouldSync) this.antiEntropy.syncWith(target);
  }

  private applyUpdates(from: string, updates: readonly MemberRecord[], now: ClockReading): void {
    for (const record of updates) {
      this.applyRecord(record, { from, shouldGossip: true }, now);
    }
  }

  private onMemberUpdates(from: string, frame: MemberUpdatesFrame, now: ClockReading): void {
    for (const record of frame.updates) {
      const isNew = this.applyRecord(record, { from, shouldGossip: true }, now);
      // Notified early, the suspect can refute the suspicion before it is declared dead.
      if (isNew && record.state === MemberState.Suspect && from !== record.server) {
        this.context.send(record, { kind: 'member-updates', updates: [record] });
      }
    }
    if (frame.zones !== undefined) this.reachability.apply(frame.zones, this.bridge, now);
  }

  private applyRecord(record: MemberRecord, origin: RecordOrigin, now: ClockReading): boolean {
    if (record.server === this.server && origin.from !== this.server) {
      this.ownRecordManager.refute(record, origin.from, now);
      return false;
    }
    const applied = this.table.apply(record, now);
    if (applied === undefined) return false;
    const zone = this.table.zone(record.availabilityZone);
    const member = applied.entry.record;
    const reachable = zone === undefined || this.table.isReachable(zone);
    this.commands.push({ kind: 'member-changed', member, reachable });
    this.detector.onRecordChanged(record, now);
    this.detectJoin(record, now);
    if (!origin.shouldGossip) return true;
    const isUrgent = this.disseminator.isUrgent(record, applied.previous);
    if (zone === this.ownZone) this.bridge.onOwnZoneUpdate(record, isUrgent, now);
    this.disseminator.disseminate(record, origin.from, isUrgent, now);
    return true;
  }

  private detectJoin(record: MemberRecord, now: ClockReading): void {
    const isPeer = record.availabilityZone === this.ownZone.name && record.server !== this.server;
    if (this.hasJoined || this.isJoining || !isPeer || !isLive(record)) return;
    this.isJoining = true;
    this.timers.schedule(now, joinDelayMilliseconds, () => {
      this.hasJoined = true;
    });
  }

  private takeCommands(): readonly MembershipCommand[] {
    const { commands } = this;
    this.commands = [];
    return commands;
  }
}
