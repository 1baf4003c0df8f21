import { MemberState, type MemberRecord } from '../messages/member.js';
import type { ClockReading } from '../shared/clock-reading.js';
import { shuffled } from '../shared/random-source.js';
import { isLive } from './member-order.js';
import type { MembershipLinks } from './membership-links.js';
import type { UpdateQueue } from './update-queue.js';
import type { MemberEntry } from './zone-members.js';

const pingIntervalMilliseconds = 1_000;
const indirectAfterMilliseconds = 300;
const indirectPings = 3;
const answerTimeoutMilliseconds = 1_000;
const suspicionMilliseconds = 2_000;
/** Nodes that only heard of a suspicion act later, in case the node that raised it has gone. */
const heardSuspicionMilliseconds = 5_000;
/** Probes in flight; a node that loses many connections at once does not ping them all. */
const maximumProbes = 16;

interface Probe {
  readonly server: string;
  readonly sentAt: number;
  isIndirect: boolean;
}

interface Relay {
  readonly requester: string;
  readonly sequence: number;
  readonly until: number;
}

/** Pings the members of this node's zone in turn, suspects those that don't answer, declares them dead. */
export class FailureDetector {
  private nextSequence = 1;
  private nextPingAt = 0;
  private order: MemberEntry[] = [];
  private readonly probes = new Map<number, Probe>();
  private readonly relays = new Map<number, Relay>();
  private readonly suspicions = new Map<string, { incarnation: number; deadline: number }>();

  public constructor(
    private readonly links: MembershipLinks,
    private readonly updates: UpdateQueue,
  ) {}

  /** Sends a ping and returns its sequence number. */
  public ping(to: MemberRecord, updates: readonly MemberRecord[]): number {
    const sequence = this.nextSequence;
    this.nextSequence += 1;
    const configurationRevision = this.links.configurationRevision();
    this.links.send(to, { kind: 'ping', sequence, updates, configurationRevision });
    return sequence;
  }

  /** Pings a member of the own zone now, for example because its connection was lost. */
  public probe(entry: MemberEntry, now: ClockReading): void {
    const { server } = entry.record;
    if (this.probes.size >= maximumProbes) return;
    if ([...this.probes.values()].some((probe) => probe.server === server)) return;
    const sequence = this.ping(entry.record, this.updates.take());
    this.probes.set(sequence, { server, sentAt: now.monotonic, isIndirect: false });
  }

  /** Pings a member on behalf of another node. */
  public relay(requester: string, sequence: number, target: string, now: ClockReading): void {
    const entry = this.links.table.get(target);
    if (entry === undefined || this.relays.size >= maximumProbes) return;
    const own = this.ping(entry.record, []);
    const until = now.monotonic + answerTimeoutMilliseconds;
    this.relays.set(own, { requester, sequence, until });
  }

  public acknowledged(sequence: number, server: string): void {
    if (this.probes.get(sequence)?.server === server) this.probes.delete(sequence);
    const relay = this.relays.get(sequence);
    const requester = relay && this.links.table.get(relay.requester);
    if (relay === undefined || requester === undefined) return;
    this.relays.delete(sequence);
    this.links.send(requester.record, {
      kind: 'acknowledgement',
      sequence: relay.sequence,
      server,
      updates: [],
      configurationRevision: this.links.configurationRevision(),
    });
  }

  /** Starts, keeps or ends the suspicion of a member after its record has changed. */
  public recordChanged(record: MemberRecord, now: ClockReading): void {
    const suspicion = this.suspicions.get(record.server);
    if (suspicion !== undefined) {
      const isSame = suspicion.incarnation === record.incarnation && isLive(record);
      if (!isSame) this.suspicions.delete(record.server);
    }
    const isOwnZone = record.availabilityZone === this.links.ownZone().name;
    if (record.state !== MemberState.Suspect || !isOwnZone) return;
    this.suspectUntil(record, now.monotonic + heardSuspicionMilliseconds);
  }

  /** Forgets what was waited for while this node did not run: silence then says nothing. */
  public paused(milliseconds: number): void {
    this.probes.clear();
    this.relays.clear();
    for (const suspicion of this.suspicions.values()) {
      suspicion.deadline += milliseconds;
    }
  }

  /** When the next ping is due, or the next step for a member that does not answer. */
  public get nextTickAt(): number {
    let next = this.nextPingAt;
    for (const { isIndirect, sentAt } of this.probes.values()) {
      const wait = isIndirect ? answerTimeoutMilliseconds : indirectAfterMilliseconds;
      next = Math.min(next, sentAt + wait);
    }
    for (const { deadline } of this.suspicions.values()) next = Math.min(next, deadline);
    return next;
  }

  public tick(now: ClockReading): void {
    this.checkProbes(now);
    this.checkSuspicions(now);
    if (now.monotonic < this.nextPingAt) return;
    this.nextPingAt = now.monotonic + pingIntervalMilliseconds;
    for (const [sequence, relay] of this.relays) {
      if (now.monotonic >= relay.until) this.relays.delete(sequence);
    }
    const target = this.nextTarget();
    if (target !== undefined) this.probe(target, now);
  }

  private nextTarget(): MemberEntry | undefined {
    const self = this.links.self();
    const { live } = this.links.ownZone();
    if (this.order.length === 0) this.order = shuffled(this.links.random, live);
    for (let entry = this.order.pop(); entry !== undefined; entry = this.order.pop()) {
      if (entry !== self && entry.position >= 0) return entry;
    }
    return undefined;
  }

  private checkProbes(now: ClockReading): void {
    for (const [sequence, probe] of this.probes) {
      const elapsed = now.monotonic - probe.sentAt;
      if (elapsed >= answerTimeoutMilliseconds) {
        this.probes.delete(sequence);
        this.suspect(probe.server, now);
      } else if (elapsed >= indirectAfterMilliseconds && !probe.isIndirect) {
        probe.isIndirect = true;
        this.pingIndirectly(sequence, probe.server);
      }
    }
  }

  private pingIndirectly(sequence: number, target: string): void {
    const { table, random } = this.links;
    const self = this.links.self();
    const helpers = new Set<MemberEntry>();
    for (let tries = 0; tries < indirectPings; tries += 1) {
      const helper = table.pick(
        this.links.ownZone(),
        random,
        (entry) => entry !== self && entry.record.server !== target && !helpers.has(entry),
      );
      if (helper !== undefined) helpers.add(helper);
    }
    for (const helper of helpers) {
      this.links.send(helper.record, { kind: 'ping-request', sequence, target });
    }
  }

  private suspect(server: string, now: ClockReading): void {
    const entry = this.links.table.get(server);
    if (entry === undefined || !isLive(entry.record)) return;
    const record: MemberRecord = { ...entry.record, state: MemberState.Suspect };
    this.links.count('members_suspected');
    this.suspectUntil(record, now.monotonic + suspicionMilliseconds);
    this.links.learn(record, { from: this.links.self().record.server, isNews: true }, now);
    // Told directly, the member can refute in time; one that drains is only told this way, because
    // draining outranks the suspicion in its record.
    this.links.send(record, { kind: 'member-updates', updates: [record] });
  }

  private suspectUntil(record: MemberRecord, deadline: number): void {
    const known = this.suspicions.get(record.server);
    const isKnown = known?.incarnation === record.incarnation;
    if (isKnown && known.deadline <= deadline) return;
    this.suspicions.set(record.server, { incarnation: record.incarnation, deadline });
  }

  private checkSuspicions(now: ClockReading): void {
    for (const [server, suspicion] of this.suspicions) {
      if (now.monotonic < suspicion.deadline) continue;
      this.suspicions.delete(server);
      const entry = this.links.table.get(server);
      if (entry?.record.incarnation !== suspicion.incarnation || !isLive(entry.record)) continue;
      this.links.count('members_declared_dead');
      const record: MemberRecord = { ...entry.record, state: MemberState.Dead };
      this.links.learn(record, { from: this.links.self().record.server, isNews: true }, now);
    }
  }
}
