import type { HomePromiseFrame, KeyedRequestFrame, KeyQuestionFrame } from '../messages/frames.js';
import type { HomeTable } from '../messages/home-table.js';
import type { ServerIncarnation } from '../messages/identity.js';
import { UnknownReason } from '../messages/outcome.js';
import type { ClockReading } from '../shared/clock-reading.js';
import type { RequestQueueBudget } from './request-queue-budget.js';
import type { ServiceHomeStatus } from './home-contract.js';
import type { HomeOutbox } from './home-outbox.js';
import type { HomeSettings } from './home-settings.js';
import { rangeOfKey } from './key-hash.js';
import { KeyedRequestProcessor } from './keyed-request-processor.js';
import { takeoverBounds } from './key-rules.js';
import type { KeyRecordStore } from './key-record-store.js';
import { Lease } from './lease.js';
import type { MemberDirectory } from './member-directory.js';
import { LocalRange, rangeIdOf } from './local-range.js';
import type { QueuedRequest } from './local-range.js';
import type { HomeTableRegistry } from './home-table-registry.js';
import { namesThisIncarnation, witnessesOf } from './table-view.js';
import type { TransferInbox } from './transfer-inbox.js';

/** The objects that the homes of all services share on one node. */
export interface HomeParts {
  /** The server and the incarnation with which its process started. */
  readonly self: ServerIncarnation;
  readonly settings: HomeSettings;
  readonly outbox: HomeOutbox;
  readonly records: KeyRecordStore;
  readonly tables: HomeTableRegistry;
  readonly members: MemberDirectory;
  readonly inbox: TransferInbox;
  readonly queueBudget: RequestQueueBudget;
}

/** The ranges of one service that this node is the home of, with their lease and requests. */
export class ServiceHomes {
  public readonly localRanges = new Map<number, LocalRange>();
  public readonly requests: KeyedRequestProcessor;
  private readonly lease: Lease;

  public constructor(
    public readonly service: string,
    private readonly parts: HomeParts,
  ) {
    this.requests = new KeyedRequestProcessor(parts.settings, parts.records, parts.outbox);
    // Starting at the incarnation keeps sequence numbers unique across restarts of the server.
    this.lease = new Lease(parts.settings, parts.self.incarnation);
  }

  /**
   * Handles, queues or refuses a keyed request. Returns false if this node is not the home of its
   * key.
   */
  public onRequest(from: string, frame: KeyedRequestFrame, now: ClockReading): boolean {
    const localRange = this.localRanges.get(rangeOfKey(frame.key));
    if (localRange === undefined) {
      this.replyNotHome({ from, frame, queuedAt: now.monotonic });
      return false;
    }
    if (this.requests.answerFromRecord(localRange, from, frame)) return true;
    if (localRange.canAcceptNewKeys(now.monotonic)) {
      this.requests.accept(localRange, from, frame, now);
      return true;
    }
    this.enqueue(localRange, { from, frame, queuedAt: now.monotonic });
    return true;
  }

  public onKeyQuestion(from: string, frame: KeyQuestionFrame, now: ClockReading): void {
    const localRange = this.localRanges.get(rangeOfKey(frame.key));
    const record =
      localRange === undefined ? undefined : this.requests.lookUpKey(localRange, frame, now);
    this.parts.outbox.send(from, {
      callId: frame.callId,
      kind: 'key-answer',
      state: record?.state ?? 'unknown',
      status: record?.status,
    });
  }

  /**
   * Adds the ranges that a newer table assigns to this node, and removes those it assigns
   * elsewhere.
   */
  public applyTable(table: HomeTable): void {
    for (const [range, assignment] of table.ranges.entries()) {
      const localRange = this.localRanges.get(range);
      const isLocal = namesThisIncarnation(assignment, this.parts.self);
      if (isLocal && localRange?.since === assignment.since) continue;
      if (localRange !== undefined) this.endRange(localRange);
      if (!isLocal) continue;
      this.localRanges.set(
        range,
        new LocalRange(rangeIdOf(this.service, range), range, assignment),
      );
    }
  }

  public onPromise(witness: string, frame: HomePromiseFrame, now: ClockReading): void {
    const table = this.parts.tables.get(this.service);
    if (table === undefined) return;
    this.lease.onPromise(witness, frame);
    const until = this.lease.validUntil(table);
    if (until <= now.monotonic) return;
    for (const localRange of this.localRanges.values()) {
      localRange.extendLease(until);
      if (!localRange.isActivated) this.activate(localRange, now);
      this.serveQueued(localRange, now);
    }
  }

  /**
   * Whether this node's lease was confirmed by a majority of every quorum for exactly this table.
   */
  public hasLeaseUnder(table: HomeTable, monotonic: number): boolean {
    return this.localRanges.size > 0 && this.lease.validUntil(table) > monotonic;
  }

  /** Undefined while this node is the home of no range. */
  public homeStatus(monotonic: number): ServiceHomeStatus | undefined {
    const table = this.parts.tables.get(this.service);
    if (table === undefined || this.localRanges.size === 0) return undefined;
    const accepting = [...this.localRanges.values()].filter((localRange) =>
      localRange.canAcceptNewKeys(monotonic),
    );
    return {
      accepting: accepting.length,
      ranges: this.localRanges.size,
      service: this.service,
      silentWitnesses: this.lease.silentWitnesses(table, monotonic),
      version: table.version,
      witnesses: witnessesOf(table),
    };
  }

  public tick(now: ClockReading): void {
    const table = this.parts.tables.get(this.service);
    if (table === undefined || this.localRanges.size === 0) return;
    const localRanges = [...this.localRanges.values()];
    const isLeaseMissing = localRanges.some((localRange) => !localRange.hasLease(now.monotonic));
    for (const { frame, witness } of this.lease.startRoundIfDue(
      table,
      isLeaseMissing,
      now.monotonic,
    )) {
      this.parts.outbox.send(witness, frame);
    }
    for (const localRange of localRanges) this.serveQueued(localRange, now);
  }

  /**
   * When the next tick is needed: for the next lease renewal, or immediately while requests are
   * queued.
   */
  public get nextTickAt(): number {
    const table = this.parts.tables.get(this.service);
    if (table === undefined || this.localRanges.size === 0) return Number.POSITIVE_INFINITY;
    for (const { queuedRequests } of this.localRanges.values()) {
      if (queuedRequests.length > 0) return Number.NEGATIVE_INFINITY;
    }
    return this.lease.nextRoundTimeFor(table);
  }

  private activate(localRange: LocalRange, now: ClockReading): void {
    const { inbox, outbox, records, settings } = this.parts;
    localRange.isActivated = true;
    const received = inbox.takeComplete(localRange.rangeId, localRange.transfer);
    if (received !== undefined) {
      for (const record of received.records) records.restore(localRange.rangeId, record);
      localRange.bounds = received.bounds;
      records.restoreForgottenUntil(localRange.rangeId, received.bounds.forgottenUntil);
    } else if (localRange.since > 1) {
      localRange.bounds = takeoverBounds(now.wall, settings);
    }
    // Cause of the activation, a label of the metric. `since` is the version of the home table since
    // which this node has been the home; 1 is the first table of the service.
    const by =
      received !== undefined ? 'hand-over' : localRange.since > 1 ? 'takeover' : 'first-table';
    outbox.count('home_activations', { by });
    outbox.log('home-range-activated', {
      by,
      range: localRange.rangeNumber,
      service: this.service,
    });
  }

  private endRange(localRange: LocalRange): void {
    this.localRanges.delete(localRange.rangeNumber);
    this.parts.records.dropRange(localRange.rangeId);
    for (const queued of localRange.takeQueued()) {
      this.parts.queueBudget.release(queued.frame.body.length);
      this.replyNotHome(queued);
    }
  }

  private enqueue(localRange: LocalRange, request: QueuedRequest): void {
    if (!this.parts.queueBudget.reserve(request.frame.body.length)) {
      this.replyNoLease(request);
      return;
    }
    localRange.queuedRequests.push(request);
  }

  private serveQueued(localRange: LocalRange, now: ClockReading): void {
    if (localRange.queuedRequests.length === 0) return;
    const canAccept = localRange.canAcceptNewKeys(now.monotonic);
    for (const queued of localRange.takeQueued()) {
      const waitedMilliseconds = now.monotonic - queued.queuedAt;
      const remainingMilliseconds = queued.frame.remainingMilliseconds - waitedMilliseconds;
      const hasTimedOut = remainingMilliseconds <= this.minimumRemaining(localRange, queued);
      if (!canAccept && !hasTimedOut) {
        localRange.queuedRequests.push(queued);
        continue;
      }
      this.parts.queueBudget.release(queued.frame.body.length);
      const frame = { ...queued.frame, remainingMilliseconds };
      if (this.requests.answerFromRecord(localRange, queued.from, frame)) continue;
      if (canAccept) this.requests.accept(localRange, queued.from, frame, now);
      else this.replyNoLease(queued);
    }
  }

  /**
   * A queued request is replied to when its remaining time has fallen to this value, early enough for
   * the entry to learn that the request was not started. During a hand-over, which ends with the
   * running attempts, requests wait as long as their deadline allows.
   */
  private minimumRemaining({ isAccepting }: LocalRange, { frame }: QueuedRequest): number {
    const { queuedReplyMarginMilliseconds, queueTimeoutMilliseconds } = this.parts.settings;
    if (!isAccepting) return queuedReplyMarginMilliseconds;
    return Math.max(
      queuedReplyMarginMilliseconds,
      frame.remainingMilliseconds - queueTimeoutMilliseconds,
    );
  }

  private replyNoLease({ frame, from }: QueuedRequest): void {
    const { outbox, settings } = this.parts;
    const waiter = { callId: frame.callId, from };
    outbox.replyUnknown(waiter, UnknownReason.NoLease, false, settings.retryAfterMilliseconds);
  }

  private replyNotHome({ frame, from }: QueuedRequest): void {
    const { outbox, tables } = this.parts;
    outbox.count('home_not_home', {});
    const table = tables.get(this.service);
    outbox.reply({ callId: frame.callId, from }, { kind: 'not-home', table });
  }
}
