import type { KeyedOutcome, KeyedRequestFrame, KeyQuestionFrame } from '../messages/frames.js';
import type { CallOutcome } from '../messages/outcome.js';
import { RefusalReason, UnknownReason } from '../messages/outcome.js';
import type { ClockReading } from '../shared/clock-reading.js';
import { creationTimeOf } from './creation-time.js';
import type { KeyedAnswer } from './home-contract.js';
import type { HomeOutbox, Waiter } from './home-outbox.js';
import type { HomeSettings } from './home-settings.js';
import { isVoidAttempt, decideNewKey } from './key-rules.js';
import type { RangeTimeBounds } from './key-rules.js';
import type { KeyRecordStore, InMemoryKeyRecord } from './key-record-store.js';
import type { LocalRange } from './local-range.js';

/**
 * Limit on attempts with an unknown outcome for which a late report of the gate is still accepted.
 */
const maximumUnresolvedAttempts = 10_000;

/**
 * Limit on the requests waiting for one attempt, so that a caller resending in a loop can't exhaust
 * memory.
 */
const maximumWaitersPerAttempt = 64;

interface DispatchedAttempt {
  readonly record: InMemoryKeyRecord;
  readonly rangeId: string;
}

/**
 * Processes keyed requests in ranges that this node is the home of, so that each key runs at most
 * once.
 */
export class KeyedRequestProcessor {
  private readonly running = new Map<number, DispatchedAttempt>();
  /** Ended attempts whose outcome is unknown, oldest first, by dispatch. */
  private readonly unresolved = new Map<number, DispatchedAttempt>();

  public constructor(
    private readonly settings: HomeSettings,
    private readonly records: KeyRecordStore,
    private readonly outbox: HomeOutbox,
  ) {}

  /** Whether an attempt of this range is running. */
  public hasRunningAttempt(rangeId: string): boolean {
    for (const attempt of this.running.values()) {
      if (attempt.rangeId === rangeId) return true;
    }
    return false;
  }

  public get runningAttemptCount(): number {
    return this.running.size;
  }

  /**
   * Replies from the record of the key, or adds the request to those that wait for the running attempt.
   * This needs no lease, because what is known of a run stays true. Returns false if there is no such
   * record.
   */
  public answerFromRecord(localRange: LocalRange, from: string, frame: KeyedRequestFrame): boolean {
    const record = this.records.get(localRange.rangeId, frame.key);
    if (record === undefined || record.state === 'not-run') return false;
    if (record.digest !== frame.digest) return false;
    const waiter = { callId: frame.callId, from };
    const { retryAfterMilliseconds } = this.settings;
    if (record.state === 'running') {
      const isKnown = record.waiters.some(
        (other) => other.from === from && other.callId === frame.callId,
      );
      if (isKnown) return true;
      if (record.waiters.length < maximumWaitersPerAttempt) record.waiters.push(waiter);
      else this.outbox.replyUnknown(waiter, UnknownReason.KeyBusy, false, retryAfterMilliseconds);
      return true;
    }
    this.replyRecorded(waiter, record);
    return true;
  }

  /** Runs or refuses a request in a range that may accept new keys now. */
  public accept(
    localRange: LocalRange,
    from: string,
    frame: KeyedRequestFrame,
    now: ClockReading,
  ): void {
    const waiter = { callId: frame.callId, from };
    const record = this.records.get(localRange.rangeId, frame.key);
    if (record === undefined) {
      this.acceptNewKey(localRange, waiter, frame, now);
      return;
    }
    if (record.digest !== '' && record.digest !== frame.digest) {
      this.outbox.refuse(waiter, RefusalReason.KeyReused);
      return;
    }
    record.digest = frame.digest;
    if (isVoidAttempt(frame.receivedAt, record.recordedAt, this.settings)) {
      this.recordAndRefuse(waiter, record, RefusalReason.VoidAttempt, now);
      return;
    }
    this.startAttempt(localRange, waiter, record, frame, now);
  }

  /**
   * Records the outcome of an attempt and replies to its waiters, even if this node is no longer the
   * home of the range.
   */
  public onAttemptConcluded(
    dispatchId: number,
    outcome: CallOutcome,
    answer: KeyedAnswer | undefined,
    now: ClockReading,
  ): void {
    const attempt = this.running.get(dispatchId);
    if (attempt === undefined) return;
    this.running.delete(dispatchId);
    const { record, rangeId } = attempt;
    const waiters = record.waiters;
    record.waiters = [];
    record.recordedAt = Math.max(record.recordedAt, now.wall);
    switch (outcome.kind) {
      case 'answered':
        this.recordAnswer(rangeId, record, waiters, outcome.status, answer);
        break;
      case 'refused-not-run':
        record.state = 'not-run';
        for (const waiter of waiters) {
          this.outbox.refuse(waiter, outcome.reason, outcome.retryAfterMilliseconds);
        }
        break;
      case 'outcome-unknown':
        record.state = 'unknown';
        record.unknownReason = outcome.reason;
        this.unresolved.set(dispatchId, attempt);
        this.evictOldestUnresolved();
        for (const waiter of waiters) this.outbox.replyUnknown(waiter, outcome.reason, true);
        break;
    }
  }

  /** Replaces an unknown outcome with the one that the gate reported later. */
  public onLateOutcome(
    dispatchId: number,
    outcome: CallOutcome,
    answer: KeyedAnswer | undefined,
    now: ClockReading,
  ): void {
    if (this.running.has(dispatchId)) {
      this.onAttemptConcluded(dispatchId, outcome, answer, now);
      return;
    }
    const attempt = this.unresolved.get(dispatchId);
    this.unresolved.delete(dispatchId);
    if (attempt?.record.state !== 'unknown') return;
    const { record, rangeId } = attempt;
    record.unknownReason = undefined;
    if (outcome.kind === 'answered') this.recordAnswer(rangeId, record, [], outcome.status, answer);
    else if (outcome.kind === 'refused-not-run') {
      record.state = 'not-run';
      record.recordedAt = Math.max(record.recordedAt, now.wall);
    }
  }

  private evictOldestUnresolved(): void {
    for (const dispatchId of this.unresolved.keys()) {
      if (this.unresolved.size <= maximumUnresolvedAttempts) return;
      this.unresolved.delete(dispatchId);
    }
  }

  /**
   * Returns the record of a key, or undefined if its state is unknown. The answer "not run" is recorded
   * like a refusal, so that an attempt received before it can't run afterwards.
   */
  public lookUpKey(
    localRange: LocalRange,
    frame: KeyQuestionFrame,
    now: ClockReading,
  ): InMemoryKeyRecord | undefined {
    const known = this.records.get(localRange.rangeId, frame.key);
    const canAccept = localRange.canAcceptNewKeys(now.monotonic);
    if (known !== undefined) {
      if (known.state !== 'not-run') return known;
      if (!canAccept) return undefined;
      known.recordedAt = Math.max(known.recordedAt, now.wall);
      return known;
    }
    if (!canAccept) return undefined;
    const decision = decideNewKey(
      creationTimeOf(frame.key),
      Number.POSITIVE_INFINITY,
      this.boundsOf(localRange),
      now.wall,
      this.settings,
    );
    if (decision.kind === 'unknown') return undefined;
    return this.records.add(localRange.rangeId, newRecord(frame.key, '', now));
  }

  private acceptNewKey(
    localRange: LocalRange,
    waiter: Waiter,
    frame: KeyedRequestFrame,
    now: ClockReading,
  ): void {
    const decision = decideNewKey(
      creationTimeOf(frame.key),
      frame.receivedAt,
      this.boundsOf(localRange),
      now.wall,
      this.settings,
    );
    if (decision.kind === 'unknown') {
      this.outbox.replyUnknown(waiter, decision.reason, false);
      return;
    }
    const record = this.records.add(localRange.rangeId, newRecord(frame.key, frame.digest, now));
    if (record === undefined) {
      localRange.raiseVoidUntil(now.wall + this.settings.maximumClockSkewMilliseconds);
      const { retryAfterMilliseconds } = this.settings;
      this.outbox.refuse(waiter, RefusalReason.KeyStoreFull, retryAfterMilliseconds);
      return;
    }
    if (decision.kind === 'refuse') {
      this.recordAndRefuse(waiter, record, decision.reason, now);
      return;
    }
    this.startAttempt(localRange, waiter, record, frame, now);
  }

  private boundsOf({ bounds, rangeId }: LocalRange): RangeTimeBounds {
    return { ...bounds, forgottenUntil: this.records.forgottenUntil(rangeId) };
  }

  private startAttempt(
    localRange: LocalRange,
    waiter: Waiter,
    record: InMemoryKeyRecord,
    frame: KeyedRequestFrame,
    now: ClockReading,
  ): void {
    if (frame.remainingMilliseconds <= 0) {
      this.recordAndRefuse(waiter, record, RefusalReason.DeadlineExpired, now);
      return;
    }
    const dispatchId = this.outbox.nextIdentifier();
    record.state = 'running';
    record.waiters = [waiter];
    this.running.set(dispatchId, { record, rangeId: localRange.rangeId });
    const { body, head, remainingMilliseconds } = frame;
    this.outbox.runKeyed({ body, dispatchId, head, remainingMilliseconds });
  }

  /**
   * Refuses a request and records when, so that attempts received by their entry before that are
   * void.
   */
  private recordAndRefuse(
    waiter: Waiter,
    record: InMemoryKeyRecord,
    reason: RefusalReason,
    now: ClockReading,
  ): void {
    record.state = 'not-run';
    record.recordedAt = Math.max(record.recordedAt, now.wall);
    this.outbox.refuse(waiter, reason, this.settings.retryAfterMilliseconds);
  }

  private recordAnswer(
    rangeId: string,
    record: InMemoryKeyRecord,
    waiters: readonly Waiter[],
    status: number,
    answer: KeyedAnswer | undefined,
  ): void {
    record.state = 'ran';
    record.status = status;
    const body = answer?.body;
    if (answer === undefined || body === undefined) {
      record.unknownReason = UnknownReason.AnswerTooLarge;
      for (const waiter of waiters) this.outbox.replyUnknown(waiter, record.unknownReason, true);
      return;
    }
    this.records.keepAnswer(rangeId, record, answer.headers, body);
    for (const [index, waiter] of waiters.entries()) {
      this.outbox.reply(waiter, answeredOutcome(status, answer.headers, body, index > 0));
    }
  }

  private replyRecorded(waiter: Waiter, record: InMemoryKeyRecord): void {
    const { body, headers, status } = record;
    if (record.state === 'ran' && status !== undefined && body !== undefined) {
      this.outbox.reply(waiter, answeredOutcome(status, headers ?? {}, body, true));
      return;
    }
    const reason = record.unknownReason ?? UnknownReason.AnswerNotKept;
    this.outbox.replyUnknown(waiter, reason, true);
  }
}

function answeredOutcome(
  status: number,
  headers: KeyedAnswer['headers'],
  body: Uint8Array,
  recorded: boolean,
): KeyedOutcome {
  return { body, headers, kind: 'answered', recorded, status };
}

function newRecord(key: string, digest: string, now: ClockReading): InMemoryKeyRecord {
  return {
    body: undefined,
    digest,
    headers: undefined,
    key,
    recordedAt: now.wall,
    state: 'not-run',
    status: undefined,
    unknownReason: undefined,
    waiters: [],
  };
}
