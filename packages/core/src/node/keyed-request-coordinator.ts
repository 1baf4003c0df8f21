import { KeyLookup } from '../entry/key-lookup.js';
import { KeyedForwarder } from '../entry/keyed-forwarder.js';
import type { KeyLookupCommand } from '../entry/key-lookup.js';
import type { ForwarderCommand, KeyedRequest } from '../entry/keyed-forwarder.js';
import type {
  HomeCommand,
  HomeManagerContract,
  KeyedAnswer,
  RunKeyedCommand,
} from '../homes/home-contract.js';
import type { KeyStateQueryMessage } from '../messages/core-message.js';
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

/** Minimum time between requests for one service's home table while keyed requests wait for it. */
const tableRequestIntervalMilliseconds = 200;

export interface KeyedRequestCoordinatorOptions {
  readonly self: string;
  readonly homes: HomeManagerContract;
  readonly router: RouterContract;
  readonly outbox: Outbox;
  readonly random: RandomSource;
  readonly nextCallId: () => number;
  readonly runKeyedRequest: (command: RunKeyedCommand, now: ClockReading) => void;
  readonly onHandedOver: (now: ClockReading) => void;
}

/**
 * Routes keyed requests and key state queries between callers, this node's homes and the homes on
 * other nodes.
 */
export class KeyedRequestCoordinator {
  private readonly forwarder: KeyedForwarder;
  private readonly keyLookup: KeyLookup;
  private readonly tableRequestedAt = new Map<string, number>();

  public constructor(private readonly options: KeyedRequestCoordinatorOptions) {
    const { homes, nextCallId } = options;
    const lookup = {
      nextCallId,
      rangeOf: (key: string) => homes.rangeOf(key),
      table: (service: string) => homes.table(service),
    };
    this.forwarder = new KeyedForwarder(lookup);
    this.keyLookup = new KeyLookup(lookup);
  }

  public get inProgress(): number {
    return this.forwarder.inProgress;
  }

  /** Whether keyed requests or operators' key state queries are waiting for a result. */
  public get hasWork(): boolean {
    return this.forwarder.inProgress + this.keyLookup.pendingCount > 0;
  }

  public begin(request: KeyedRequest, now: ClockReading): void {
    this.applyForwarderCommands(this.forwarder.begin(request, now), now);
  }

  /** Asks the home of a key for its state on behalf of an operator. */
  public queryKeyState(
    { key, questionId, service }: KeyStateQueryMessage,
    now: ClockReading,
  ): void {
    this.applyKeyLookupCommands(this.keyLookup.begin({ key, questionId, service }, now), now);
  }

  public onCallerDisconnected(requestNumber: number): void {
    this.forwarder.abandon(requestNumber);
  }

  // Uses `switch` instead of ts-pattern: a `match` chain rebuilds its patterns for each frame, which
  // costs about 40 us per keyed call before the JIT compiler has optimized the code.
  public handleKeyedFrame(from: string, frame: KeyedFrame, now: ClockReading): void {
    switch (frame.kind) {
      case 'keyed-request':
        this.applyHomeCommands(this.options.homes.onRequest(from, frame, now), now);
        return;
      case 'key-question':
        this.applyHomeCommands(this.options.homes.onKeyQuestion(from, frame, now), now);
        return;
      case 'keyed-outcome':
        this.handleOutcome(from, frame.callId, frame.outcome, now);
        return;
      case 'key-answer':
        this.applyKeyLookupCommands(this.keyLookup.onAnswer(from, frame), now);
    }
  }

  public handleHomeFrame(from: string, frame: HomeFrame, now: ClockReading): void {
    this.applyHomeCommands(this.options.homes.onFrame(from, frame, now), now);
    if (frame.kind === 'home-table' || frame.kind === 'home-confirm') {
      this.applyForwarderCommands(this.forwarder.onTableChanged(frame.service, now), now);
    }
  }

  public onDispatchConcluded(
    dispatchId: number,
    outcome: CallOutcome,
    answer: KeyedAnswer | undefined,
    now: ClockReading,
  ): void {
    this.applyHomeCommands(
      this.options.homes.onAttemptConcluded(dispatchId, outcome, answer, now),
      now,
    );
  }

  /** Reports the outcome of a dispatch that its home had already given up. */
  public onDispatchSettled(
    dispatchId: number,
    outcome: CallOutcome,
    answer: KeyedAnswer | undefined,
    now: ClockReading,
  ): void {
    this.applyHomeCommands(this.options.homes.onLateOutcome(dispatchId, outcome, answer, now), now);
  }

  public handleStoreResult(operationId: number, result: StoreResult, now: ClockReading): void {
    this.applyHomeCommands(this.options.homes.onStoreResult(operationId, result, now), now);
  }

  public updateMembers(
    members: readonly MemberRecord[],
    unreachable: ReadonlySet<string>,
    now: ClockReading,
  ): void {
    this.applyHomeCommands(this.options.homes.onMembersChanged(members, unreachable, now), now);
  }

  public handOver(now: ClockReading): void {
    this.applyHomeCommands(this.options.homes.startHandOver(now), now);
  }

  public onNotSent(callId: number, now: ClockReading): void {
    this.applyForwarderCommands(this.forwarder.onNotSent(callId, now), now);
  }

  public onPeerLost(server: string, now: ClockReading): void {
    this.applyForwarderCommands(this.forwarder.onPeerLost(server), now);
  }

  public tick(now: ClockReading): void {
    this.applyHomeCommands(this.options.homes.tick(now), now);
    this.applyForwarderCommands(this.forwarder.tick(now), now);
    this.applyKeyLookupCommands(this.keyLookup.tick(now), now);
    for (const service of this.forwarder.waitingServices()) {
      this.applyForwarderCommands(this.forwarder.onTableChanged(service, now), now);
    }
  }

  private handleOutcome(
    from: string,
    callId: number,
    outcome: KeyedOutcome,
    now: ClockReading,
  ): void {
    if (outcome.kind === 'not-home' && outcome.table !== undefined) {
      const { table } = outcome;
      this.handleHomeFrame(from, { kind: 'home-table', service: table.service, table }, now);
    }
    this.applyForwarderCommands(this.forwarder.onOutcome(from, callId, outcome, now), now);
  }

  private applyForwarderCommands(commands: readonly ForwarderCommand[], now: ClockReading): void {
    for (const command of commands) {
      switch (command.kind) {
        case 'forward':
          this.forward(command.to, command.frame, now);
          break;
        case 'need-table':
          this.requestTable(command.service, now);
          break;
        case 'conclude':
          this.replyToCaller(command.requestNumber, command.outcome);
      }
    }
  }

  private forward(to: string, frame: KeyedRequestFrame, now: ClockReading): void {
    const { homes, outbox, self } = this.options;
    outbox.journal(frame.head.requestId, { kind: 'sent', role: 'home', server: to });
    if (to === self) {
      this.applyHomeCommands(homes.onRequest(to, frame, now), now);
    } else if (!outbox.send(to, frame)) {
      this.applyForwarderCommands(this.forwarder.onNotSent(frame.callId, now), now);
    }
  }

  private applyKeyLookupCommands(commands: readonly KeyLookupCommand[], now: ClockReading): void {
    for (const command of commands) {
      switch (command.kind) {
        case 'ask':
          if (command.to === this.options.self) {
            this.applyHomeCommands(
              this.options.homes.onKeyQuestion(command.to, command.frame, now),
              now,
            );
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

  private replyToCaller(
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
    if (
      requestedAt !== undefined &&
      now.monotonic - requestedAt < tableRequestIntervalMilliseconds
    ) {
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

  private applyHomeCommands(commands: readonly HomeCommand[], now: ClockReading): void {
    const { outbox, self } = this.options;
    for (const command of commands) {
      switch (command.kind) {
        case 'run-keyed':
          this.options.runKeyedRequest(command, now);
          break;
        case 'keyed-reply': {
          const { callId, outcome, to } = command;
          if (to === self) this.handleOutcome(self, callId, outcome, now);
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
          this.options.onHandedOver(now);
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
      this.applyKeyLookupCommands(this.keyLookup.onAnswer(to, frame), now);
    } else {
      // This node is also a witness for its own home, so the frame is handled locally.
      this.handleHomeFrame(to, frame, now);
    }
  }
}
