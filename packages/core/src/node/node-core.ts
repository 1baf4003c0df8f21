import { EntryClock } from '../entry/entry-clock.js';
import type { CoreCommand } from '../messages/core-command.js';
import type {
  CallerRequestMessage,
  CoreMessage,
  StoreResultMessage,
} from '../messages/core-message.js';
import type {
  ConfigurationFrame,
  CoreFrame,
  HomeFrame,
  MembershipFrame,
} from '../messages/frames.js';
import { RequestClass } from '../messages/outcome.js';
import { StoreClient } from '../messages/store.js';
import type { PollBudget } from '../probing/poll-scheduler.js';
import type { ClockReading } from '../shared/clock-reading.js';
import { assertInvariant } from '../shared/invariant-error.js';
import { createBoards } from './node-boards.js';
import type { NodeBoards } from './node-boards.js';
import type { NodeCoreOptions, NodeParts } from './node-parts.js';

/** Time between ticks while anything waits for one; hedges and queued requests depend on it. */
const tickMilliseconds = 10;
/**
 * Longest time between ticks. The entry clock takes a gap of 100 ms for a pause of the process, so a
 * quiet node needs ticks well within that.
 */
const quietTickMilliseconds = 50;

type PeerMessage = Extract<
  CoreMessage,
  { readonly kind: 'frame-not-sent' | 'peer-frame' | 'peer-lost' }
>;
type ControlFrame = HomeFrame | MembershipFrame | ConfigurationFrame;
type UpstreamMessage = Extract<CoreMessage, { readonly kind: `upstream-${string}` }>;

/**
 * Every decision of one node. A driver delivers messages with a clock reading and carries out the
 * commands that come back, in their order.
 */
export class NodeCore {
  private readonly boards: NodeBoards;
  private readonly entryClock = new EntryClock();
  private lastTickAt = Number.NEGATIVE_INFINITY;

  public constructor(private readonly options: NodeCoreOptions) {
    this.boards = createBoards(options);
  }

  /** Takes one message and returns what is to be done. */
  public handle(message: CoreMessage, now: ClockReading): readonly CoreCommand[] {
    this.dispatch(message, now);
    return this.boards.outbox.take();
  }

  /**
   * Monotonic time by which the driver delivers the next tick. Any message may bring it forward, so the
   * driver asks after each.
   */
  public get nextTickAt(): number {
    const earliest = this.lastTickAt + tickMilliseconds;
    if (this.isWaiting) return earliest;
    const { configuration, homes, membership } = this.options;
    const needed = Math.min(
      this.boards.upstream.nextPollAt,
      membership.nextTickAt,
      configuration.nextTickAt,
      homes.nextTickAt,
    );
    return Math.max(earliest, Math.min(needed, this.lastTickAt + quietTickMilliseconds));
  }

  /** The parts, for operators' questions. */
  public get parts(): NodeParts {
    return this.options;
  }

  /** False while the member's availability zone or region can't be reached. */
  public isReachable(server: string): boolean {
    return this.boards.members.isReachable(server);
  }

  public get isStopping(): boolean {
    return this.boards.stop.isStopping;
  }

  public pollBudget(now: ClockReading): PollBudget {
    return this.boards.upstream.pollBudget(now);
  }

  /** Whether anything is in progress whose times are looked at in every tick. */
  private get isWaiting(): boolean {
    const { calls, configuration, executions, keyed, members, stop } = this.boards;
    const { membership, router } = this.options;
    if (
      calls.inProgress + executions.size > 0 ||
      configuration.isWatching !== membership.isBridge
    ) {
      return true;
    }
    return keyed.isWaiting || members.isWaiting || stop.isStopping || router.isProbing;
  }

  private dispatch(message: CoreMessage, now: ClockReading): void {
    const { calls, configuration, keyed, stop } = this.boards;
    switch (message.kind) {
      case 'tick':
        this.tick(now);
        return;
      case 'caller-request':
        this.callerRequest(message, now);
        return;
      case 'caller-gone':
        calls.callerGone(message.requestNumber, now);
        keyed.callerGone(message.requestNumber);
        return;
      case 'peer-frame':
      case 'frame-not-sent':
      case 'peer-lost':
        this.peerMessage(message, now);
        return;
      case 'relay-finished':
        if (message.to.kind === 'caller') {
          calls.streamFinished(message.to.requestNumber);
        }
        return;
      case 'store-result':
        this.storeResult(message, now);
        return;
      case 'propose-configuration':
        configuration.apply(this.options.configuration.propose(message, now), now);
        return;
      case 'ask-key':
        keyed.ask(message, now);
        return;
      case 'stop':
        stop.begin(now);
        return;
      default:
        this.upstreamMessage(message, now);
    }
  }

  private callerRequest(request: CallerRequestMessage, now: ClockReading): void {
    const { body, deadlineMilliseconds, digest, head, key, requestNumber } = request;
    const { requestClass, streamedBody } = request;
    if (requestClass === RequestClass.Idempotent) {
      const owner = { kind: 'caller', requestNumber } as const;
      const call = { body, head, owner, requestClass, streamedBody };
      this.boards.calls.begin(call, deadlineMilliseconds, now);
      return;
    }
    assertInvariant(
      key !== undefined && digest !== undefined && !streamedBody,
      'a non-idempotent request has a key, a digest and its whole body',
    );
    const deadline = now.monotonic + deadlineMilliseconds;
    const whole = body ?? new Uint8Array();
    const receivedAt = this.entryClock.receivedAt(now);
    const keyed = { body: whole, deadline, digest, head, key, receivedAt, requestNumber };
    this.boards.keyed.begin(keyed, now);
  }

  private peerMessage(message: PeerMessage, now: ClockReading): void {
    const { calls, executions, keyed, members } = this.boards;
    switch (message.kind) {
      case 'peer-frame':
        this.frame(message.from, message.frame, now);
        return;
      case 'frame-not-sent':
        if (message.frame.kind === 'request-start') {
          calls.notSent(message.frame.callId, message.congested, now);
        } else if (message.frame.kind === 'keyed-request') {
          keyed.notSent(message.frame.callId, now);
        }
        return;
      case 'peer-lost':
        executions.peerLost(message.server);
        calls.peerLost(message.server, now);
        keyed.peerLost(message.server, now);
        members.apply(this.options.membership.peerLost(message.server, now), now);
    }
  }

  private upstreamMessage(message: UpstreamMessage, now: ClockReading): void {
    const { drains, executions, members, upstream } = this.boards;
    const { configuration, membership } = this.options;
    switch (message.kind) {
      case 'upstream-announced':
        upstream.announce(message.announcement, configuration.inForce, now);
        members.apply(membership.announce(message.announcement, now), now);
        drains.upstreamAnnounced(now);
        return;
      case 'upstream-drain':
        drains.setUpstreamDraining(message.draining, now);
        return;
      case 'upstream-left':
        upstream.leave(now);
        drains.upstreamLeft(now);
        return;
      case 'upstream-result':
        executions.upstreamResult(message.executionId, message.result, now);
        return;
      case 'upstream-finished':
        executions.upstreamFinished(message.executionId, message.complete, now);
        return;
      case 'upstream-polled':
        upstream.polled(message.healthy, message.inFlight, now);
    }
  }

  private frame(from: string, frame: CoreFrame, now: ClockReading): void {
    const { calls, executions, keyed, outbox } = this.boards;
    const { gate, router } = this.options;
    switch (frame.kind) {
      case 'request-start':
        executions.start(from, frame, undefined, now);
        return;
      case 'request-cancel':
        executions.cancel(from, frame.callId, now);
        return;
      case 'answer':
      case 'request-admitted':
      case 'request-failed':
      case 'request-refused':
        calls.frame(from, frame, now);
        return;
      case 'keyed-request':
      case 'keyed-outcome':
      case 'key-question':
      case 'key-answer':
        keyed.keyedFrame(from, frame, now);
        return;
      case 'load-probe':
        outbox.reply(from, { kind: 'load-report', load: gate.load(now) });
        return;
      case 'load-report':
        if (frame.load !== undefined) {
          router.reported(from, frame.load, now);
        }
        return;
      default:
        this.controlFrame(from, frame, now);
    }
  }

  private controlFrame(from: string, frame: ControlFrame, now: ClockReading): void {
    const { configuration, keyed, members } = this.boards;
    const { configuration: keeper, membership } = this.options;
    switch (frame.kind) {
      case 'configuration-announcement':
      case 'configuration-push':
      case 'configuration-pull':
        configuration.apply(keeper.frame(from, frame, now), now);
        return;
      case 'ping':
      case 'acknowledgement':
      case 'ping-request':
      case 'member-updates':
      case 'member-sync':
        members.apply(membership.frame(from, frame, now), now);
        return;
      default:
        keyed.homeFrame(from, frame, now);
    }
  }

  private storeResult(message: StoreResultMessage, now: ClockReading): void {
    const { configuration: keeper, membership } = this.options;
    const { configuration, keyed, members } = this.boards;
    const { client, operationId, result } = message;
    switch (client) {
      case StoreClient.Configuration:
        configuration.apply(keeper.storeResult(operationId, result, now), now);
        return;
      case StoreClient.Homes:
        keyed.storeResult(operationId, result, now);
        return;
      case StoreClient.Membership:
        members.apply(membership.storeResult(operationId, result, now), now);
    }
  }

  private tick(now: ClockReading): void {
    this.lastTickAt = now.monotonic;
    this.entryClock.tick(now);
    const { calls, configuration, keyed, members, outbox, stop, upstream } = this.boards;
    const { identity, membership, router } = this.options;
    upstream.tick(now);
    calls.tick(now);
    members.tick(now);
    configuration.tick(membership.isBridge, now);
    keyed.tick(now);
    for (const { server, service } of router.dueForProbe(now)) {
      if (server === identity.server) this.probeOwnGate(now);
      else outbox.send(server, { kind: 'load-probe', service });
    }
    stop.tick(now);
  }

  /** A frame would open a connection of the node to itself. */
  private probeOwnGate(now: ClockReading): void {
    const { gate, identity, router } = this.options;
    const load = gate.load(now);
    if (load !== undefined) router.reported(identity.server, load, now);
  }
}
