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
import { MemberComparison } from './member-comparison.js';
import { isLive } from './member-order.js';
import { MemberTable } from './member-table.js';
import type { MembershipCommand, MembershipContract } from './membership-contract.js';
import type { MembershipLinks, RecordOrigin } from './membership-links.js';
import { PingExchange } from './ping-exchange.js';
import { OwnRecord } from './own-record.js';
import { NewsSpreader } from './news-spreader.js';
import type { Seed } from './seed-layout.js';
import { SeedKeeper } from './seed-keeper.js';
import { ZoneBridge } from './zone-bridge.js';
import { ZoneReachabilityKeeper } from './zone-reachability.js';
import type { MemberEntry, ZoneMembers } from './zone-members.js';

/** How a node's membership is set up. */
export interface MembershipOptions {
  readonly identity: NodeIdentity;
  readonly random: RandomSource;
  /** Members to contact at the start besides those in the store, so that an outage is no obstacle. */
  readonly seeds?: readonly Seed[] | undefined;
}

/** Ticks come every 50 ms at least; a much longer gap means that the process did not run. */
const pauseMilliseconds = 1_000;
const slowTickMilliseconds = 100;
/** Time for the rest of the zone to become known after its first member did. */
const joinMilliseconds = 1_000;

/** Keeps the list of members and their liveness. */
export class Membership implements MembershipContract {
  private commands: MembershipCommand[] = [];
  private readonly timers = new Timers();
  private readonly requests = new StoreRequests((command) => this.commands.push(command));
  private readonly table = new MemberTable();
  private readonly links: MembershipLinks;
  private readonly news: NewsSpreader;
  private readonly own: OwnRecord;
  private readonly reachability: ZoneReachabilityKeeper;
  private readonly detector: FailureDetector;
  private readonly comparison: MemberComparison;
  private readonly bridge: ZoneBridge;
  private readonly pings: PingExchange;
  private readonly seeds: SeedKeeper;
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
    const own = this.table.apply(OwnRecord.initial(identity), start)?.entry;
    const ownZone = this.table.zone(identity.availabilityZone);
    assertInvariant(own !== undefined && ownZone !== undefined, 'an empty table takes any record');
    this.ownEntry = own;
    this.ownZone = ownZone;
    this.links = this.buildLinks();
    this.news = new NewsSpreader(this.links);
    this.own = new OwnRecord(this.links, this.news);
    this.reachability = new ZoneReachabilityKeeper(this.links, this.news, (member, reachable) =>
      this.commands.push({ kind: 'member-changed', member, reachable }),
    );
    this.detector = new FailureDetector(this.links, this.news.updates);
    this.comparison = new MemberComparison(this.links);
    const { links, news, detector, comparison } = this;
    this.bridge = new ZoneBridge(links, detector, comparison, (zone, isReachable, now) => {
      this.reachability.declare(zone, isReachable, this.bridge, now);
    });
    const { bridge } = this;
    const revisionSeen = (server: string, revision: number): void => {
      this.commands.push({ kind: 'revision-seen', server, revision });
    };
    this.pings = new PingExchange({ links, news, detector, comparison, bridge, revisionSeen });
    this.seeds = new SeedKeeper(links, this.requests, this.timers, {
      contact: (seed, asksForMembers) => {
        this.contact(seed, asksForMembers);
      },
      settled: () => {
        this.hasJoined = true;
      },
    });
  }

  public get isBridge(): boolean {
    return this.hasJoined && this.ownZone.isBridge(this.ownEntry);
  }

  public frame(
    from: string,
    frame: MembershipFrame,
    now: ClockReading,
  ): readonly MembershipCommand[] {
    switch (frame.kind) {
      case 'ping':
        this.learnAll(from, frame.updates, now);
        this.pings.answer(from, frame);
        break;
      case 'acknowledgement':
        this.learnAll(from, frame.updates, now);
        this.pings.acknowledged(from, frame, now);
        break;
      case 'ping-request':
        this.detector.relay(from, frame.sequence, frame.target, now);
        break;
      case 'member-updates':
        this.receiveUpdates(from, frame, now);
        break;
      case 'member-sync':
        this.comparison.receive(from, frame, now);
        break;
    }
    return this.takeCommands();
  }

  public peerLost(server: string, now: ClockReading): readonly MembershipCommand[] {
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
    this.requests.deliver(operationId, result, now);
    return this.takeCommands();
  }

  public announce(
    announcement: UpstreamAnnouncement,
    now: ClockReading,
  ): readonly MembershipCommand[] {
    this.own.announce(announcement, now);
    return this.takeCommands();
  }

  public setDraining(draining: boolean, now: ClockReading): readonly MembershipCommand[] {
    this.own.setDraining(draining, now);
    return this.takeCommands();
  }

  public leave(now: ClockReading): readonly MembershipCommand[] {
    this.own.leave(now);
    return this.takeCommands();
  }

  public setConfigurationRevision(revision: number): void {
    this.configurationRevision = revision;
  }

  public tick(now: ClockReading): readonly MembershipCommand[] {
    const gap = now.monotonic - (this.lastTickAt ?? now.monotonic);
    if (this.lastTickAt === undefined) this.start(now);
    this.lastTickAt = now.monotonic;
    if (gap > pauseMilliseconds) {
      this.detector.paused(gap);
      this.bridge.paused();
    }
    this.requests.tick(now);
    this.timers.tick(now);
    if (isLive(this.ownEntry.record)) {
      this.detector.tick(now);
      if (now.monotonic >= this.nextSlowTickAt) this.slowTick(now);
    }
    return this.takeCommands();
  }

  public get nextTickAt(): number {
    if (this.lastTickAt === undefined) return Number.NEGATIVE_INFINITY;
    const waiting = Math.min(this.requests.nextDeadline, this.timers.nextAt);
    if (!isLive(this.ownEntry.record)) return waiting;
    return Math.min(waiting, this.detector.nextTickAt, this.nextSlowTickAt);
  }

  public members(): readonly MemberRecord[] {
    return this.table.records();
  }

  public member(server: string): MemberRecord | undefined {
    return this.table.get(server)?.record;
  }

  /** Whether the bridges of this zone reach the given zone. */
  public isReachable(availabilityZone: string): boolean {
    const zone = this.table.zone(availabilityZone);
    return zone !== undefined && this.table.isReachable(zone);
  }

  /** Other live members of the own availability zone, for those who pass something on in it. */
  public zonePeers(): readonly string[] {
    const servers = this.ownZone.live.map((entry) => entry.record.server);
    return servers.filter((server) => server !== this.server);
  }

  private buildLinks(): MembershipLinks {
    return {
      table: this.table,
      random: this.options.random,
      self: () => this.ownEntry,
      ownZone: () => this.ownZone,
      configurationRevision: () => this.configurationRevision,
      send: ({ server, peerAddress }, frame) =>
        this.commands.push({ kind: 'send', to: server, address: peerAddress, frame }),
      learn: (record, origin, now) => this.learn(record, origin, now),
      count: (counter, by = 1) => this.commands.push({ kind: 'count', counter, labels: {}, by }),
      report: (event, fields) => this.commands.push({ kind: 'log', level: 'info', event, fields }),
    };
  }

  /** What is due in seconds need not be looked at in every tick. */
  private slowTick(now: ClockReading): void {
    this.nextSlowTickAt = now.monotonic + slowTickMilliseconds;
    const { isBridge } = this;
    this.comparison.tick(now);
    this.bridge.tick(isBridge, now);
    this.reachability.tick(isBridge, this.bridge, now);
    this.seeds.tick(isBridge, now);
    this.pings.pingEnded(now);
  }

  private start(now: ClockReading): void {
    for (const seed of this.options.seeds ?? []) {
      if (seed.server !== this.server) this.contact(seed, true);
    }
    this.seeds.start(now);
  }

  private contact(seed: Seed, asksForMembers: boolean): void {
    const target = { ...this.ownEntry.record, server: seed.server, peerAddress: seed.address };
    this.links.send(target, { kind: 'member-updates', updates: [this.ownEntry.record] });
    if (asksForMembers) this.comparison.start(target);
  }

  private learnAll(from: string, updates: readonly MemberRecord[], now: ClockReading): void {
    for (const record of updates) {
      this.learn(record, { from, isNews: true }, now);
    }
  }

  private receiveUpdates(from: string, frame: MemberUpdatesFrame, now: ClockReading): void {
    for (const record of frame.updates) {
      const isNew = this.learn(record, { from, isNews: true }, now);
      // Told early, the suspect can refute before it is declared dead.
      if (isNew && record.state === MemberState.Suspect && from !== record.server) {
        this.links.send(record, { kind: 'member-updates', updates: [record] });
      }
    }
    if (frame.zones !== undefined) this.reachability.learn(frame.zones, this.bridge, now);
  }

  private learn(record: MemberRecord, origin: RecordOrigin, now: ClockReading): boolean {
    if (record.server === this.server && origin.from !== this.server) {
      this.own.refute(record, origin.from, now);
      return false;
    }
    const applied = this.table.apply(record, now);
    if (applied === undefined) return false;
    const zone = this.table.zone(record.availabilityZone);
    const member = applied.entry.record;
    const reachable = zone === undefined || this.table.isReachable(zone);
    this.commands.push({ kind: 'member-changed', member, reachable });
    this.detector.recordChanged(record, now);
    this.noticeZoneMember(record, now);
    if (!origin.isNews) return true;
    const isUrgent = this.news.isUrgent(record, applied.previous);
    if (zone === this.ownZone) this.bridge.ownUpdate(record, isUrgent, now);
    this.news.pass(record, origin.from, isUrgent, now);
    return true;
  }

  private noticeZoneMember(record: MemberRecord, now: ClockReading): void {
    const isPeer = record.availabilityZone === this.ownZone.name && record.server !== this.server;
    if (this.hasJoined || this.isJoining || !isPeer || !isLive(record)) return;
    this.isJoining = true;
    this.timers.after(now, joinMilliseconds, () => {
      this.hasJoined = true;
    });
  }

  private takeCommands(): readonly MembershipCommand[] {
    const { commands } = this;
    this.commands = [];
    return commands;
  }
}
