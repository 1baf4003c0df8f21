import { KeyInquiry } from '../entry/key-inquiry.js';
import { KeyedForwarder } from '../entry/keyed-forwarder.js';
import type { InquiryCommand } from '../entry/key-inquiry.js';
import type { ForwarderCommand, KeyedRequest } from '../entry/keyed-forwarder.js';
import type {
  HomeCommand,
  HomeKeeperContract,
  KeyedAnswer,
  RunKeyedCommand,
} from '../homes/home-contract.js';
import type { AskKeyMessage } from '../messages/core-message.js';
import type { HomeFrame, KeyedFrame, KeyedOutcome, KeyedRequestFrame } from '../messages/frames.js';
import type { MemberRecord } from '../messages/member.js';
import type { CallOutcome } from '../messages/outcome.js';
import { StoreClient } from '../messages/store.js';
import type { StoreResult } from '../messages/store.js';
import type { RouterContract } from '../routing/router-contract.js';
import type { ClockReading } from '../shared/clock-reading.js';
import { pickRandom } from '../shared/random-source.js';
import type { RandomSource } from '../shared/random-source.js';
import type { Outbox } from './outbox.js';

/** How often the home table of one service is asked for while requests wait for it. */
const tableRequestMilliseconds = 200;

export interface KeyedBoardOptions {
  readonly self: string;
  readonly homes: HomeKeeperContract;
  readonly router: RouterContract;
  readonly outbox: Outbox;
  readonly random: RandomSource;
  readonly nextCallId: () => number;
  readonly run: (command: RunKeyedCommand, now: ClockReading) => void;
  readonly handedOver: (now: ClockReading) => void;
}

/** Connects callers' keyed requests, this node's homes and the homes on other nodes. */
export class KeyedBoard {
  private readonly forwarder: KeyedForwarder;
  private readonly inquiry: KeyInquiry;
  private readonly tableRequestedAt = new Map<string, number>();

  public constructor(private readonly options: KeyedBoardOptions) {
    const { homes, nextCallId } = options;
    const lookup = {
      nextCallId,
      rangeOf: (key: string) => homes.rangeOf(key),
      table: (service: string) => homes.table(service),
    };
    this.forwarder = new KeyedForwarder(lookup);
    this.inquiry = new KeyInquiry(lookup);
  }

  public get inProgress(): number {
    return this.forwarder.inProgress;
  }

  /** Whether requests or operators' questions wait for an answer. */
  public get isWaiting(): boolean {
    return this.forwarder.inProgress + this.inquiry.inProgress > 0;
  }

  public begin(request: KeyedRequest, now: ClockReading): void {
    this.applyForwarder(this.forwarder.begin(request, now), now);
  }

  /** Asks the home of a key on an operator's behalf. */
  public ask({ key, questionId, service }: AskKeyMessage, now: ClockReading): void {
    this.applyInquiry(this.inquiry.begin({ key, questionId, service }, now), now);
  }

  public callerGone(requestNumber: number): void {
    this.forwarder.abandon(requestNumber);
  }

  // `switch` instead of ts-pattern: a chain of matches builds its patterns anew for each frame, which
  // takes about 40 us of a keyed call while the code is not optimised yet.
  public keyedFrame(from: string, frame: KeyedFrame, now: ClockReading): void {
    switch (frame.kind) {
      case 'keyed-request':
        this.applyHomes(this.options.homes.request(from, frame, now), now);
        return;
      case 'key-question':
        this.applyHomes(this.options.homes.question(from, frame, now), now);
        return;
      case 'keyed-outcome':
        this.outcome(from, frame.callId, frame.outcome, now);
        return;
      case 'key-answer':
        this.applyInquiry(this.inquiry.answered(from, frame), now);
    }
  }

  public homeFrame(from: string, frame: HomeFrame, now: ClockReading): void {
    this.applyHomes(this.options.homes.frame(from, frame, now), now);
    if (frame.kind === 'home-table' || frame.kind === 'home-confirm') {
      this.applyForwarder(this.forwarder.tableChanged(frame.service, now), now);
    }
  }

  public concluded(
    dispatchId: number,
    outcome: CallOutcome,
    answer: KeyedAnswer | undefined,
    now: ClockReading,
  ): void {
    this.applyHomes(this.options.homes.concluded(dispatchId, outcome, answer, now), now);
  }

  /** The end of an attempt that its home had to give up before. */
  public settled(
    dispatchId: number,
    outcome: CallOutcome,
    answer: KeyedAnswer | undefined,
    now: ClockReading,
  ): void {
    this.applyHomes(this.options.homes.settled(dispatchId, outcome, answer, now), now);
  }

  public storeResult(operationId: number, result: StoreResult, now: ClockReading): void {
    this.applyHomes(this.options.homes.storeResult(operationId, result, now), now);
  }

  public members(
    members: readonly MemberRecord[],
    unreachable: ReadonlySet<string>,
    now: ClockReading,
  ): void {
    this.applyHomes(this.options.homes.members(members, unreachable, now), now);
  }

  public handOver(now: ClockReading): void {
    this.applyHomes(this.options.homes.handOver(now), now);
  }

  public notSent(callId: number, now: ClockReading): void {
    this.applyForwarder(this.forwarder.notSent(callId, now), now);
  }

  public peerLost(server: string, now: ClockReading): void {
    this.applyForwarder(this.forwarder.peerLost(server), now);
  }

  public tick(now: ClockReading): void {
    this.applyHomes(this.options.homes.tick(now), now);
    this.applyForwarder(this.forwarder.tick(now), now);
    this.applyInquiry(this.inquiry.tick(now), now);
    for (const service of this.forwarder.waitingServices()) {
      this.applyForwarder(this.forwarder.tableChanged(service, now), now);
    }
  }

  private outcome(from: string, callId: number, outcome: KeyedOutcome, now: ClockReading): void {
    if (outcome.kind === 'not-home' && outcome.table !== undefined) {
      const { table } = outcome;
      this.homeFrame(from, { kind: 'home-table', service: table.service, table }, now);
    }
    this.applyForwarder(this.forwarder.outcome(from, callId, outcome, now), now);
  }

  private applyForwarder(commands: readonly ForwarderCommand[], now: ClockReading): void {
    for (const command of commands) {
      switch (command.kind) {
        case 'forward':
          this.forward(command.to, command.frame, now);
          break;
        case 'need-table':
          this.requestTable(command.service, now);
          break;
        case 'conclude':
          this.conclude(command.requestNumber, command.outcome);
      }
    }
  }

  private forward(to: string, frame: KeyedRequestFrame, now: ClockReading): void {
    const { homes, outbox, self } = this.options;
    outbox.journal(frame.head.requestId, { kind: 'sent', role: 'home', server: to });
    if (to === self) {
      this.applyHomes(homes.request(to, frame, now), now);
    } else if (!outbox.send(to, frame)) {
      this.applyForwarder(this.forwarder.notSent(frame.callId, now), now);
    }
  }

  private applyInquiry(commands: readonly InquiryCommand[], now: ClockReading): void {
    for (const command of commands) {
      switch (command.kind) {
        case 'ask':
          if (command.to === this.options.self) {
            this.applyHomes(this.options.homes.question(command.to, command.frame, now), now);
          } else {
            this.options.outbox.send(command.to, command.frame);
          }
          break;
        case 'need-table':
          this.requestTable(command.service, now);
          break;
        case 'key-known':
          this.options.outbox.push(command);
      }
    }
  }

  private conclude(
    requestNumber: number,
    outcome: Exclude<KeyedOutcome, { readonly kind: 'not-home' }>,
  ): void {
    const { outbox } = this.options;
    if (outcome.kind !== 'answered') {
      outbox.push({ kind: 'reply-to-caller', outcome, requestNumber, streamedBody: false });
      return;
    }
    const { body, headers, status } = outcome;
    outbox.push({
      body,
      headers,
      kind: 'reply-to-caller',
      outcome: { kind: 'answered', status },
      requestNumber,
      streamedBody: false,
    });
  }

  private requestTable(service: string, now: ClockReading): void {
    const requestedAt = this.tableRequestedAt.get(service);
    if (requestedAt !== undefined && now.monotonic - requestedAt < tableRequestMilliseconds) {
      return;
    }
    this.tableRequestedAt.set(service, now.monotonic);
    const { outbox, random, router, self } = this.options;
    const others = router.targets(service).filter(({ server }) => server !== self);
    const target = pickRandom(random, others);
    if (target !== undefined) {
      outbox.send(target.server, { kind: 'home-table-request', service });
    }
  }

  private applyHomes(commands: readonly HomeCommand[], now: ClockReading): void {
    const { outbox, self } = this.options;
    for (const command of commands) {
      switch (command.kind) {
        case 'run-keyed':
          this.options.run(command, now);
          break;
        case 'keyed-reply': {
          const { callId, outcome, to } = command;
          if (to === self) this.outcome(self, callId, outcome, now);
          else outbox.reply(to, { callId, kind: 'keyed-outcome', outcome });
          break;
        }
        case 'send':
          this.sendFromHome(command.to, command.frame, now);
          break;
        case 'store': {
          const { operation, operationId } = command;
          outbox.push({ client: StoreClient.Homes, kind: 'store', operation, operationId });
          break;
        }
        case 'handed-over':
          this.options.handedOver(now);
          break;
        case 'count':
        case 'log':
          outbox.push(command);
      }
    }
  }

  private sendFromHome(
    to: string,
    frame: Extract<HomeCommand, { readonly kind: 'send' }>['frame'],
    now: ClockReading,
  ): void {
    if (to !== this.options.self) {
      this.options.outbox.reply(to, frame);
    } else if (frame.kind === 'key-answer') {
      this.applyInquiry(this.inquiry.answered(to, frame), now);
    } else {
      // This node is a witness of its own home.
      this.homeFrame(to, frame, now);
    }
  }
}
