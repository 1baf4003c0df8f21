import { MemberState, type MemberRecord } from '../messages/member.js';
import type { ClockReading } from '../shared/clock-reading.js';
import { shuffled } from '../shared/random-source.js';
import { isLive } from './record-version.js';
import type { MembershipContext } from './membership-context.js';
import type { UpdateQueue } from './update-queue.js';
import type { MemberEntry } from './zone-members.js';

const pingIntervalMilliseconds = 1_000;
/** Time without an acknowledgement after which other members are asked to ping the target. */
const indirectPingDelayMilliseconds = 300;
const indirectPingCount = 3;
const probeTimeoutMilliseconds = 1_000;
const suspicionTimeoutMilliseconds = 2_000;
/**
 * Suspicion timeout on nodes that only received the suspicion. It is longer than on the node that
 * raised it, and takes effect only if that node is gone.
 */
const receivedSuspicionTimeoutMilliseconds = 5_000;
/** Maximum number of probes in flight, for a node that loses many connections at once. */
const maximumConcurrentProbes = 16;

interface Probe {
  readonly server: string;
  readonly sentAt: number;
  isIndirect: boolean;
}

/** A ping sent on behalf of another node. */
interface Relay {
  readonly requester: string;
  readonly sequence: number;
  readonly expiresAt: number;
}

/**
 * Pings the members of this node's zone in random order. Members that don't acknowledge are suspected,
 * and declared dead if the suspicion is not refuted in time.
 */
export class FailureDetector {
  private nextSequence = 1;
  private nextPingAt = 0;
  private probeOrder: MemberEntry[] = [];
  private readonly probes = new Map<number, Probe>();
  private readonly relays = new Map<number, Relay>();
  private readonly suspicions = new Map<string, { incarnation: number; deadline: number }>();

  public constructor(
    private readonly context: MembershipContext,
    private readonly pendingUpdates: UpdateQueue,
  ) {}

  /** Sends a ping and returns its sequence number. */
  public sendPing(to: MemberRecord, updates: readonly MemberRecord[]): number {
    const sequence = this.nextSequence;
    this.nextSequence += 1;
    const configurationRevision = this.context.configurationRevision();
    this.context.send(to, { kind: 'ping', sequence, updates, configurationRevision });
    return sequence;
  }

  /**
   * Pings a member of the own zone now and expects an acknowledgement, for example after a lost
   * connection.
   */
  public probe(entry: MemberEntry, now: ClockReading): void {
    const { server } = entry.record;
    if (this.probes.size >= maximumConcurrentProbes) return;
    if ([...this.probes.values()].some((probe) => probe.server === server)) return;
    const sequence = this.sendPing(entry.record, this.pendingUpdates.takeForFrame());
    this.probes.set(sequence, { server, sentAt: now.monotonic, isIndirect: false });
  }

  /** Pings a member on behalf of another node and forwards the acknowledgement to it. */
  public relayPing(requester: string, sequence: number, target: string, now: ClockReading): void {
    const entry = this.context.table.get(target);
    if (entry === undefined || this.relays.size >= maximumConcurrentProbes) return;
    const ownSequence = this.sendPing(entry.record, []);
    const expiresAt = now.monotonic + probeTimeoutMilliseconds;
    this.relays.set(ownSequence, { requester, sequence, expiresAt });
  }

  public onAcknowledgement(sequence: number, server: string): void {
    if (this.probes.get(sequence)?.server === server) this.probes.delete(sequence);
    const relay = this.relays.get(sequence);
    const requester = relay && this.context.table.get(relay.requester);
    if (relay === undefined || requester === undefined) return;
    this.relays.delete(sequence);
    this.context.send(requester.record, {
      kind: 'acknowledgement',
      sequence: relay.sequence,
      server,
      updates: [],
      configurationRevision: this.context.configurationRevision(),
    });
  }

  /** Starts, keeps or cancels the suspicion of a member after its record has changed. */
  public onRecordChanged(record: MemberRecord, now: ClockReading): void {
    const suspicion = this.suspicions.get(record.server);
    if (suspicion !== undefined) {
      const isSame = suspicion.incarnation === record.incarnation && isLive(record);
      if (!isSame) this.suspicions.delete(record.server);
    }
    const isOwnZone = record.availabilityZone === this.context.ownZone().name;
    if (record.state !== MemberState.Suspect || !isOwnZone) return;
    this.setSuspicionDeadline(record, now.monotonic + receivedSuspicionTimeoutMilliseconds);
  }

  /**
   * Discards probes and extends suspicions after this process was paused: acknowledgements missed in that
   * time say nothing about the members.
   */
  public onPaused(milliseconds: number): void {
    this.probes.clear();
    this.relays.clear();
    for (const suspicion of this.suspicions.values()) {
      suspicion.deadline += milliseconds;
    }
  }

  /** Monotonic time of the next ping or of the next timeout of a probe or suspicion. */
  public get nextTickAt(): number {
    let next = this.nextPingAt;
    for (const { isIndirect, sentAt } of this.probes.values()) {
      const wait = isIndirect ? probeTimeoutMilliseconds : indirectPingDelayMilliseconds;
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
      if (now.monotonic >= relay.expiresAt) this.relays.delete(sequence);
    }
    const target = this.nextTarget();
    if (target !== undefined) this.probe(target, now);
  }

  private nextTarget(): MemberEntry | undefined {
    const self = this.context.self();
    const { live } = this.context.ownZone();
    if (this.probeOrder.length === 0) this.probeOrder = shuffled(this.context.random, live);
    for (let entry = this.probeOrder.pop(); entry !== undefined; entry = this.probeOrder.pop()) {
      if (entry !== self && entry.position >= 0) return entry;
    }
    return undefined;
  }

  private checkProbes(now: ClockReading): void {
    for (const [sequence, probe] of this.probes) {
      const elapsed = now.monotonic - probe.sentAt;
      if (elapsed >= probeTimeoutMilliseconds) {
        this.probes.delete(sequence);
        this.suspect(probe.server, now);
      } else if (elapsed >= indirectPingDelayMilliseconds && !probe.isIndirect) {
        probe.isIndirect = true;
        this.pingIndirectly(sequence, probe.server);
      }
    }
  }

  private pingIndirectly(sequence: number, target: string): void {
    const { table, random } = this.context;
    const self = this.context.self();
    const helpers = new Set<MemberEntry>();
    for (let tries = 0; tries < indirectPingCount; tries += 1) {
      const helper = table.pickLive(
        this.context.ownZone(),
        random,
        (entry) => entry !== self && entry.record.server !== target && !helpers.has(entry),
      );
      if (helper !== undefined) helpers.add(helper);
    }
    for (const helper of helpers) {
      this.context.send(helper.record, { kind: 'ping-request', sequence, target });
    }
  }

  private suspect(server: string, now: ClockReading): void {
    const entry = this.context.table.get(server);
    if (entry === undefined || !isLive(entry.record)) return;
    const record: MemberRecord = { ...entry.record, state: MemberState.Suspect };
    this.context.count('members_suspected');
    this.setSuspicionDeadline(record, now.monotonic + suspicionTimeoutMilliseconds);
    this.context.applyRecord(
      record,
      { from: this.context.self().record.server, shouldGossip: true },
      now,
    );
    // Notified directly, the member can refute the suspicion in time. For a draining member this is the
    // only notification, because draining outranks suspicion and the update is not gossiped.
    this.context.send(record, { kind: 'member-updates', updates: [record] });
  }

  private setSuspicionDeadline(record: MemberRecord, deadline: number): void {
    const known = this.suspicions.get(record.server);
    const isKnown = known?.incarnation === record.incarnation;
    if (isKnown && known.deadline <= deadline) return;
    this.suspicions.set(record.server, { incarnation: record.incarnation, deadline });
  }

  private checkSuspicions(now: ClockReading): void {
    for (const [server, suspicion] of this.suspicions) {
      if (now.monotonic < suspicion.deadline) continue;
      this.suspicions.delete(server);
      const entry = this.context.table.get(server);
      if (entry?.record.incarnation !== suspicion.incarnation || !isLive(entry.record)) continue;
      this.context.count('members_declared_dead');
      const record: MemberRecord = { ...entry.record, state: MemberState.Dead };
      this.context.applyRecord(
        record,
        { from: this.context.self().record.server, shouldGossip: true },
        now,
      );
    }
  }
}
