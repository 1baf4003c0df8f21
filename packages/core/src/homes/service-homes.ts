import type { HomePromiseFrame, KeyedRequestFrame, KeyQuestionFrame } from '../messages/frames.js';
import type { HomeTable } from '../messages/home-table.js';
import type { ServerIncarnation } from '../messages/identity.js';
import { UnknownReason } from '../messages/outcome.js';
import type { ClockReading } from '../shared/clock-reading.js';
import type { HeldBudget } from './held-budget.js';
import type { HeldHome } from './home-contract.js';
import type { HomeOutbox } from './home-outbox.js';
import type { HomeSettings } from './home-settings.js';
import { rangeOfKey } from './key-hash.js';
import { KeyRequests } from './key-requests.js';
import { takeoverBounds } from './key-rules.js';
import type { KeyStore } from './key-store.js';
import { Lease } from './lease.js';
import type { MemberDirectory } from './member-directory.js';
import { RangeTenure, scopeOf } from './range-tenure.js';
import type { HeldRequest } from './range-tenure.js';
import type { TableBook } from './table-book.js';
import { namesThisLife, witnessesOf } from './table-view.js';
import type { TransferInbox } from './transfer-inbox.js';

/** What the homes of all services share on one node. */
export interface HomeParts {
  /** The server and the incarnation with which its process started. */
  readonly self: ServerIncarnation;
  readonly settings: HomeSettings;
  readonly outbox: HomeOutbox;
  readonly records: KeyStore;
  readonly tables: TableBook;
  readonly members: MemberDirectory;
  readonly inbox: TransferInbox;
  readonly held: HeldBudget;
}

/** The ranges of one service that this node is the home of, with their lease and requests. */
export class ServiceHomes {
  public readonly tenures = new Map<number, RangeTenure>();
  public readonly requests: KeyRequests;
  private readonly lease: Lease;

  public constructor(
    public readonly service: string,
    private readonly parts: HomeParts,
  ) {
    this.requests = new KeyRequests(parts.settings, parts.records, parts.outbox);
    // The incarnation makes sequence numbers unique over restarts of the server.
    this.lease = new Lease(parts.settings, parts.self.incarnation);
  }

  /** Serves, holds or turns away a keyed request; returns false when this node is not the home. */
  public request(from: string, frame: KeyedRequestFrame, now: ClockReading): boolean {
    const tenure = this.tenures.get(rangeOfKey(frame.key));
    if (tenure === undefined) {
      this.replyNotHome({ from, frame, heldAt: now.monotonic });
      return false;
    }
    if (this.requests.answerFromRecord(tenure, from, frame)) return true;
    if (tenure.mayAccept(now.monotonic)) {
      this.requests.accept(tenure, from, frame, now);
      return true;
    }
    this.hold(tenure, { from, frame, heldAt: now.monotonic });
    return true;
  }

  public question(from: string, frame: KeyQuestionFrame, now: ClockReading): void {
    const tenure = this.tenures.get(rangeOfKey(frame.key));
    const record = tenure === undefined ? undefined : this.requests.question(tenure, frame, now);
    this.parts.outbox.send(from, {
      callId: frame.callId,
      kind: 'key-answer',
      state: record?.state ?? 'unknown',
      status: record?.status,
    });
  }

  /** Starts and ends tenures after a newer table was adopted. */
  public adopted(table: HomeTable): void {
    for (const [range, assignment] of table.ranges.entries()) {
      const tenure = this.tenures.get(range);
      const isMine = namesThisLife(assignment, this.parts.self);
      if (isMine && tenure?.since === assignment.since) continue;
      if (tenure !== undefined) this.end(tenure);
      if (!isMine) continue;
      this.tenures.set(range, new RangeTenure(scopeOf(this.service, range), range, assignment));
    }
  }

  public promised(witness: string, frame: HomePromiseFrame, now: ClockReading): void {
    const table = this.parts.tables.get(this.service);
    if (table === undefined) return;
    this.lease.promised(witness, frame);
    const until = this.lease.validUntil(table);
    if (until <= now.monotonic) return;
    for (const tenure of this.tenures.values()) {
      tenure.extendLease(until);
      if (!tenure.isActivated) this.activate(tenure, now);
      this.serveHeld(tenure, now);
    }
  }

  /** Whether a majority of every quorum of exactly this table has confirmed this node's lease. */
  public holdsLeaseUnder(table: HomeTable, monotonic: number): boolean {
    return this.tenures.size > 0 && this.lease.validUntil(table) > monotonic;
  }

  /** Undefined while this node is the home of no range. */
  public held(monotonic: number): HeldHome | undefined {
    const table = this.parts.tables.get(this.service);
    if (table === undefined || this.tenures.size === 0) return undefined;
    const accepting = [...this.tenures.values()].filter((tenure) => tenure.mayAccept(monotonic));
    return {
      accepting: accepting.length,
      ranges: this.tenures.size,
      service: this.service,
      silentWitnesses: this.lease.silentWitnesses(table, monotonic),
      version: table.version,
      witnesses: witnessesOf(table),
    };
  }

  public tick(now: ClockReading): void {
    const table = this.parts.tables.get(this.service);
    if (table === undefined || this.tenures.size === 0) return;
    const tenures = [...this.tenures.values()];
    const isWaiting = tenures.some((tenure) => !tenure.hasLease(now.monotonic));
    for (const { frame, witness } of this.lease.round(table, isWaiting, now.monotonic)) {
      this.parts.outbox.send(witness, frame);
    }
    for (const tenure of tenures) this.serveHeld(tenure, now);
  }

  /** When the next tick is needed: for the lease, or at once while requests are held. */
  public get nextTickAt(): number {
    const table = this.parts.tables.get(this.service);
    if (table === undefined || this.tenures.size === 0) return Number.POSITIVE_INFINITY;
    for (const { held } of this.tenures.values()) {
      if (held.length > 0) return Number.NEGATIVE_INFINITY;
    }
    return this.lease.nextRoundFor(table);
  }

  private activate(tenure: RangeTenure, now: ClockReading): void {
    const { inbox, outbox, records, settings } = this.parts;
    tenure.isActivated = true;
    const received = inbox.take(tenure.scope, tenure.transfer);
    if (received !== undefined) {
      for (const record of received.records) records.restore(tenure.scope, record);
      tenure.bounds = received.bounds;
      records.restoreForgotten(tenure.scope, received.bounds.forgottenUntil);
    } else if (tenure.since > 1) {
      tenure.bounds = takeoverBounds(now.wall, settings);
    }
    const by = received !== undefined ? 'hand-over' : tenure.since > 1 ? 'takeover' : 'first-table';
    outbox.count('home_activations', { by });
    outbox.log('home-range-activated', { by, range: tenure.range, service: this.service });
  }

  private end(tenure: RangeTenure): void {
    this.tenures.delete(tenure.range);
    this.parts.records.dropScope(tenure.scope);
    for (const held of tenure.takeHeld()) {
      this.parts.held.release(held.frame.body.length);
      this.replyNotHome(held);
    }
  }

  private hold(tenure: RangeTenure, request: HeldRequest): void {
    if (!this.parts.held.take(request.frame.body.length)) {
      this.replyNoLease(request);
      return;
    }
    tenure.held.push(request);
  }

  private serveHeld(tenure: RangeTenure, now: ClockReading): void {
    if (tenure.held.length === 0) return;
    const mayAccept = tenure.mayAccept(now.monotonic);
    for (const held of tenure.takeHeld()) {
      const waited = now.monotonic - held.heldAt;
      const remainingMilliseconds = held.frame.remainingMilliseconds - waited;
      const isOver = remainingMilliseconds <= this.holdEnd(tenure, held);
      if (!mayAccept && !isOver) {
        tenure.held.push(held);
        continue;
      }
      this.parts.held.release(held.frame.body.length);
      const frame = { ...held.frame, remainingMilliseconds };
      if (this.requests.answerFromRecord(tenure, held.from, frame)) continue;
      if (mayAccept) this.requests.accept(tenure, held.from, frame, now);
      else this.replyNoLease(held);
    }
  }

  /**
   * The remaining time at which a request is given up. A hand-over ends with the running attempts, so
   * its requests wait for it; the entry has to hear in time that they were not started.
   */
  private holdEnd({ isAccepting }: RangeTenure, { frame }: HeldRequest): number {
    const { heldReplyMilliseconds, holdMilliseconds } = this.parts.settings;
    if (!isAccepting) return heldReplyMilliseconds;
    return Math.max(heldReplyMilliseconds, frame.remainingMilliseconds - holdMilliseconds);
  }

  private replyNoLease({ frame, from }: HeldRequest): void {
    const { outbox, settings } = this.parts;
    const waiter = { callId: frame.callId, from };
    outbox.unknown(waiter, UnknownReason.NoLease, false, settings.retryAfterMilliseconds);
  }

  private replyNotHome({ frame, from }: HeldRequest): void {
    const { outbox, tables } = this.parts;
    outbox.count('home_not_home', {});
    const table = tables.get(this.service);
    outbox.reply({ callId: frame.callId, from }, { kind: 'not-home', table });
  }
}
