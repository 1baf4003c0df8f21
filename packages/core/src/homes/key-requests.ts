import type { KeyedOutcome, KeyedRequestFrame, KeyQuestionFrame } from '../messages/frames.js';
import type { CallOutcome } from '../messages/outcome.js';
import { RefusalReason, UnknownReason } from '../messages/outcome.js';
import type { ClockReading } from '../shared/clock-reading.js';
import { creationTimeOf } from './creation-time.js';
import type { KeyedAnswer } from './home-contract.js';
import type { HomeOutbox, Waiter } from './home-outbox.js';
import type { HomeSettings } from './home-settings.js';
import { isVoid, judgeNewKey } from './key-rules.js';
import type { TenureBounds } from './key-rules.js';
import type { KeyStore, StoredRecord } from './key-store.js';
import type { RangeTenure } from './range-tenure.js';

/** Attempts with an unknown end that a late word of their gate can still settle. */
const maximumUnresolved = 10_000;

/** Requests that wait for one running attempt; a caller that resends without pause must not fill the memory. */
const maximumWaiters = 64;

interface RunningAttempt {
  readonly record: StoredRecord;
  readonly scope: string;
}

/** Applies the rules for keys to requests of ranges that this node is the home of. */
export class KeyRequests {
  private readonly running = new Map<number, RunningAttempt>();
  /** Attempts whose end is unknown, oldest first. */
  private readonly unresolved = new Map<number, RunningAttempt>();

  public constructor(
    private readonly settings: HomeSettings,
    private readonly records: KeyStore,
    private readonly outbox: HomeOutbox,
  ) {}

  /** Whether an attempt of this range is running. */
  public isRunning(scope: string): boolean {
    for (const attempt of this.running.values()) {
      if (attempt.scope === scope) return true;
    }
    return false;
  }

  public get runningAttempts(): number {
    return this.running.size;
  }

  /** Answers from the record if that needs no lease: what is known of a run stays true. */
  public answerFromRecord(tenure: RangeTenure, from: string, frame: KeyedRequestFrame): boolean {
    const record = this.records.get(tenure.scope, frame.key);
    if (record === undefined || record.state === 'not-run') return false;
    if (record.digest !== frame.digest) return false;
    const waiter = { callId: frame.callId, from };
    const { retryAfterMilliseconds } = this.settings;
    if (record.state === 'running') {
      const isKnown = record.waiters.some(
        (other) => other.from === from && other.callId === frame.callId,
      );
      if (isKnown) return true;
      if (record.waiters.length < maximumWaiters) record.waiters.push(waiter);
      else this.outbox.unknown(waiter, UnknownReason.KeyBusy, false, retryAfterMilliseconds);
      return true;
    }
    this.replyRecorded(waiter, record);
    return true;
  }

  /** Decides about a request of a range that may accept now. */
  public accept(
    tenure: RangeTenure,
    from: string,
    frame: KeyedRequestFrame,
    now: ClockReading,
  ): void {
    const waiter = { callId: frame.callId, from };
    const record = this.records.get(tenure.scope, frame.key);
    if (record === undefined) {
      this.acceptNew(tenure, waiter, frame, now);
      return;
    }
    if (record.digest !== '' && record.digest !== frame.digest) {
      this.outbox.refuse(waiter, RefusalReason.KeyReused);
      return;
    }
    record.digest = frame.digest;
    if (isVoid(frame.receivedAt, record.recordedAt, this.settings)) {
      this.refuseRecorded(waiter, record, RefusalReason.VoidAttempt, now);
      return;
    }
    this.start(tenure, waiter, record, frame, now);
  }

  /** The end of an attempt. Its waiters are answered even if the range has gone elsewhere. */
  public concluded(
    dispatchId: number,
    outcome: CallOutcome,
    answer: KeyedAnswer | undefined,
    now: ClockReading,
  ): void {
    const attempt = this.running.get(dispatchId);
    if (attempt === undefined) return;
    this.running.delete(dispatchId);
    const { record, scope } = attempt;
    const waiters = record.waiters;
    record.waiters = [];
    record.recordedAt = Math.max(record.recordedAt, now.wall);
    switch (outcome.kind) {
      case 'answered':
        this.answered(scope, record, waiters, outcome.status, answer);
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
        this.forgetOldest();
        for (const waiter of waiters) this.outbox.unknown(waiter, outcome.reason, true);
        break;
    }
  }

  /** Replaces an unknown end by what a gate said later. */
  public settled(
    dispatchId: number,
    outcome: CallOutcome,
    answer: KeyedAnswer | undefined,
    now: ClockReading,
  ): void {
    if (this.running.has(dispatchId)) {
      this.concluded(dispatchId, outcome, answer, now);
      return;
    }
    const attempt = this.unresolved.get(dispatchId);
    this.unresolved.delete(dispatchId);
    if (attempt?.record.state !== 'unknown') return;
    const { record, scope } = attempt;
    record.unknownReason = undefined;
    if (outcome.kind === 'answered') this.answered(scope, record, [], outcome.status, answer);
    else if (outcome.kind === 'refused-not-run') {
      record.state = 'not-run';
      record.recordedAt = Math.max(record.recordedAt, now.wall);
    }
  }

  private forgetOldest(): void {
    for (const dispatchId of this.unresolved.keys()) {
      if (this.unresolved.size <= maximumUnresolved) return;
      this.unresolved.delete(dispatchId);
    }
  }

  /**
   * Answers what is known of a key. "Not run" is recorded like a refusal, so that no earlier attempt
   * contradicts it later.
   */
  public question(
    tenure: RangeTenure,
    frame: KeyQuestionFrame,
    now: ClockReading,
  ): StoredRecord | undefined {
    const known = this.records.get(tenure.scope, frame.key);
    const mayAccept = tenure.mayAccept(now.monotonic);
    if (known !== undefined) {
      if (known.state !== 'not-run') return known;
      if (!mayAccept) return undefined;
      known.recordedAt = Math.max(known.recordedAt, now.wall);
      return known;
    }
    if (!mayAccept) return undefined;
    const verdict = judgeNewKey(
      creationTimeOf(frame.key),
      Number.POSITIVE_INFINITY,
      this.boundsOf(tenure),
      now.wall,
      this.settings,
    );
    if (verdict.kind === 'unknown') return undefined;
    return this.records.add(tenure.scope, newRecord(frame.key, '', now));
  }

  private acceptNew(
    tenure: RangeTenure,
    waiter: Waiter,
    frame: KeyedRequestFrame,
    now: ClockReading,
  ): void {
    const verdict = judgeNewKey(
      creationTimeOf(frame.key),
      frame.receivedAt,
      this.boundsOf(tenure),
      now.wall,
      this.settings,
    );
    if (verdict.kind === 'unknown') {
      this.outbox.unknown(waiter, verdict.reason, false);
      return;
    }
    const record = this.records.add(tenure.scope, newRecord(frame.key, frame.digest, now));
    if (record === undefined) {
      tenure.raiseVoidUntil(now.wall + this.settings.skewMilliseconds);
      const { retryAfterMilliseconds } = this.settings;
      this.outbox.refuse(waiter, RefusalReason.KeyStoreFull, retryAfterMilliseconds);
      return;
    }
    if (verdict.kind === 'refuse') {
      this.refuseRecorded(waiter, record, verdict.reason, now);
      return;
    }
    this.start(tenure, waiter, record, frame, now);
  }

  private boundsOf({ bounds, scope }: RangeTenure): TenureBounds {
    return { ...bounds, forgottenUntil: this.records.forgottenUntil(scope) };
  }

  private start(
    tenure: RangeTenure,
    waiter: Waiter,
    record: StoredRecord,
    frame: KeyedRequestFrame,
    now: ClockReading,
  ): void {
    if (frame.remainingMilliseconds <= 0) {
      this.refuseRecorded(waiter, record, RefusalReason.DeadlineExpired, now);
      return;
    }
    const dispatchId = this.outbox.nextIdentifier();
    record.state = 'running';
    record.waiters = [waiter];
    this.running.set(dispatchId, { record, scope: tenure.scope });
    const { body, head, remainingMilliseconds } = frame;
    this.outbox.run({ body, dispatchId, head, remainingMilliseconds });
  }

  /** Records the time of the refusal, so that attempts which entered before it are void. */
  private refuseRecorded(
    waiter: Waiter,
    record: StoredRecord,
    reason: RefusalReason,
    now: ClockReading,
  ): void {
    record.state = 'not-run';
    record.recordedAt = Math.max(record.recordedAt, now.wall);
    this.outbox.refuse(waiter, reason, this.settings.retryAfterMilliseconds);
  }

  private answered(
    scope: string,
    record: StoredRecord,
    waiters: readonly Waiter[],
    status: number,
    answer: KeyedAnswer | undefined,
  ): void {
    record.state = 'ran';
    record.status = status;
    const body = answer?.body;
    if (answer === undefined || body === undefined) {
      record.unknownReason = UnknownReason.AnswerTooLarge;
      for (const waiter of waiters) this.outbox.unknown(waiter, record.unknownReason, true);
      return;
    }
    this.records.keepAnswer(scope, record, answer.headers, body);
    for (const [index, waiter] of waiters.entries()) {
      this.outbox.reply(waiter, answeredOutcome(status, answer.headers, body, index > 0));
    }
  }

  private replyRecorded(waiter: Waiter, record: StoredRecord): void {
    const { body, headers, status } = record;
    if (record.state === 'ran' && status !== undefined && body !== undefined) {
      this.outbox.reply(waiter, answeredOutcome(status, headers ?? {}, body, true));
      return;
    }
    const reason = record.unknownReason ?? UnknownReason.AnswerNotKept;
    this.outbox.unknown(waiter, reason, true);
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

function newRecord(key: string, digest: string, now: ClockReading): StoredRecord {
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
