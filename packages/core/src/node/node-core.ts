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
import { createComponents } from './node-components.js';
import type { NodeComponents } from './node-components.js';
import type { NodeCoreOptions, NodeSubsystems } from './node-subsystems.js';

/**
 * Tick interval while work is in progress; it determines the timing resolution of hedges and queued
 * requests.
 */
const tickMilliseconds = 10;
/**
 * Longest tick interval. The entry clock interprets a gap of 100 ms as a pause of the process, so an
 * idle node must tick well within that.
 */
const idleTickMilliseconds = 50;

type PeerMessage = Extract<
  CoreMessage,
  { readonly kind: 'frame-not-sent' | 'peer-frame' | 'peer-lost' }
>;
type ControlFrame = HomeFrame | MembershipFrame | ConfigurationFrame;
type UpstreamMessage = Extract<CoreMessage, { readonly kind: `upstream-${string}` }>;

/**
 * Makes all decisions of one node, without I/O. A driver delivers messages with a clock reading and
 * carries out the returned commands in order.
 */
export class NodeCore {
  private readonly components: NodeComponents;
  private readonly entryClock = new EntryClock();
  private lastTickAt = Number.NEGATIVE_INFINITY;

  public constructor(private readonly options: NodeCoreOptions) {
    this.components = createComponents(options);
  }

  /** Handles one message and returns the commands to carry out. */
  public handle(message: CoreMessage, now: ClockReading): readonly CoreCommand[] {
    this.handleMessage(message, now);
    return this.components.outbox.take();
  }

  /**
   * Monotonic time by which the driver must deliver the next tick. Any message may move it earlier, so
   * the driver reads it after each message.
   */
  public get nextTickAt(): number {
    const earliest = this.lastTickAt + tickMilliseconds;
    if (this.hasWorkInProgress) return earliest;
    const { configuration, homes, membership } = this.options;
    const neededAt = Math.min(
      this.components.localUpstream.nextPollAt,
      membership.nextTickAt,
      configuration.nextTickAt,
      homes.nextTickAt,
    );
    return Math.max(earliest, Math.min(neededAt, this.lastTickAt + idleTickMilliseconds));
  }

  /** The subsystems, read by the operators' interface. */
  public get subsystems(): NodeSubsystems {
    return this.options;
  }

  /** Returns false while the member's availability zone or region cannot be reached. */
  public isReachable(server: string): boolean {
    return this.components.members.isReachable(server);
  }

  public get isStopping(): boolean {
    return this.components.shutdown.isStopping;
  }

  public pollBudget(now: ClockReading): PollBudget {
    return this.components.localUpstream.pollBudget(now);
  }

  /** Whether any work is in progress whose timers are checked on every tick. */
  private get hasWorkInProgress(): boolean {
    const { calls, configuration, executions, keyedRequests, members, shutdown } = this.components;
    const { membership, router } = this.options;
    if (
      calls.inProgress + executions.size > 0 ||
      configuration.isWatching !== membership.isBridge
    ) {
      return true;
    }
    return keyedRequests.hasWork || members.hasChanges || shutdown.isStopping || router.isProbing;
  }

  private handleMessage(message: CoreMessage, now: ClockReading): void {
    const { calls, configuration, keyedRequests, shutdown } = this.components;
    switch (message.kind) {
      case 'tick':
        this.handleTick(now);
        return;
      case 'caller-request':
        this.handleCallerRequest(message, now);
        return;
      case 'caller-gone':
        calls.onCallerDisconnected(message.requestNumber, now);
        keyedRequests.onCallerDisconnected(message.requestNumber);
        return;
      case 'peer-frame':
      case 'frame-not-sent':
      case 'peer-lost':
        this.handlePeerMessage(message, now);
        return;
      case 'relay-finished':
        if (message.to.kind === 'caller') {
          calls.onStreamFinished(message.to.requestNumber);
        }
        return;
      case 'store-result':
        this.handleStoreResult(message, now);
        return;
      case 'propose-configuration':
        configuration.apply(this.options.configuration.propose(message, now), now);
        return;
      case 'ask-key':
        keyedRequests.queryKeyState(message, now);
        return;
      case 'stop':
        shutdown.begin(now);
        return;
      default:
        this.handleUpstreamMessage(message, now);
    }
  }

  private handleCallerRequest(request: CallerRequestMessage, now: ClockReading): void {
    const { body, deadlineMilliseconds, digest, head, key, requestNumber } = request;
    const { requestClass, streamedBody } = request;
    if (requestClass === RequestClass.Idempotent) {
      const owner = { kind: 'caller', requestNumber } as const;
      const call = { body, head, owner, requestClass, streamedBody };
      this.components.calls.begin(call, deadlineMilliseconds, now);
      return;
    }
    assertInvariant(
      key !== undefined && digest !== undefined && !streamedBody,
      'a non-idempotent request has a key, a digest and its whole body',
    );
    const deadline = now.monotonic + deadlineMilliseconds;
    const whole = body ?? new Uint8Array();
    const receivedAt = this.entryClock.arrivalTime(now);
    const keyedRequest = { body: whole, deadline, digest, head, key, receivedAt, requestNumber };
    this.components.keyedRequests.begin(keyedRequest, now);
  }

  private handlePeerMessage(message: PeerMessage, now: ClockReading): void {
    const { calls, executions, keyedRequests, members } = this.components;
    switch (message.kind) {
      case 'peer-frame':
        this.handleFrame(message.from, message.frame, now);
        return;
      case 'frame-not-sent':
        if (message.frame.kind === 'request-start') {
          calls.onNotSent(message.frame.callId, message.congested, now);
        } else if (message.frame.kind === 'keyed-request') {
          keyedRequests.onNotSent(message.frame.callId, now);
        }
        return;
      case 'peer-lost':
        executions.onPeerLost(message.server);
        calls.onPeerLost(message.server, now);
        keyedRequests.onPeerLost(message.server, now);
        members.apply(this.options.membership.onPeerLost(message.server, now), now);
    }
  }

  private handleUpstreamMessage(message: UpstreamMessage, now: ClockReading): void {
    const { drainController, executions, members, localUpstream } = this.components;
    const { configuration, membership } = this.options;
    switch (message.kind) {
      case 'upstream-announced':
        localUpstream.onAnnounced(message.announcement, configuration.inForce, now);
        members.apply(membership.announce(message.announcement, now), now);
        drainController.onUpstreamAnnounced(now);
        return;
      case 'upstream-drain':
        drainController.setUpstreamDraining(message.draining, now);
        return;
      case 'upstream-left':
        localUpstream.onLeft(now);
        drainController.onUpstreamLeft(now);
        return;
      case 'upstream-result':
        executions.handleUpstreamResult(message.executionId, message.result, now);
        return;
      case 'upstream-finished':
        executions.onUpstreamFinished(message.executionId, message.complete, now);
        return;
      case 'upstream-polled':
        localUpstream.onPolled(message.healthy, message.inFlight, now);
    }
  }

  private handleFrame(from: string, frame: CoreFrame, now: ClockReading): void {
    const { calls, executions, keyedRequests, outbox } = this.components;
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
        calls.handleFrame(from, frame, now);
        return;
      case 'keyed-request':
      case 'keyed-outcome':
      case 'key-question':
      case 'key-answer':
        keyedRequests.handleKeyedFrame(from, frame, now);
        return;
      case 'load-probe':
        outbox.reply(from, { kind: 'load-report', load: gate.loadReport(now) });
        return;
      case 'load-report':
        if (frame.load !== undefined) {
          router.onLoadReport(from, frame.load, now);
        }
        return;
      default:
        this.handleControlFrame(from, frame, now);
    }
  }

  private handleControlFrame(from: string, frame: ControlFrame, now: ClockReading): void {
    const { configuration, keyedRequests, members } = this.components;
    const { configuration: configurationSubsystem, membership } = this.options;
    switch (frame.kind) {
      case 'configuration-announcement':
      case 'configuration-push':
      case 'configuration-pull':
        configuration.apply(configurationSubsystem.handleFrame(from, frame, now), now);
        return;
      case 'ping':
      case 'acknowledgement':
      case 'ping-request':
      case 'member-updates':
      case 'member-sync':
        members.apply(membership.onFrame(from, frame, now), now);
        return;
      default:
        keyedRequests.handleHomeFrame(from, frame, now);
    }
  }

  private handleStoreResult(message: StoreResultMessage, now: ClockReading): void {
    const { configuration: configurationSubsystem, membership } = this.options;
    const { configuration, keyedRequests, members } = this.components;
    const { client, operationId, result } = message;
    switch (client) {
      case StoreClient.Configuration:
        configuration.apply(configurationSubsystem.storeResult(operationId, result, now), now);
        return;
      case StoreClient.Homes:
        keyedRequests.handleStoreResult(operationId, result, now);
        return;
      case StoreClient.Membership:
        members.apply(membership.storeResult(operationId, result, now), now);
    }
  }

  private handleTick(now: ClockReading): void {
    this.lastTickAt = now.monotonic;
    this.entryClock.tick(now);
    const { calls, configuration, keyedRequests, members, outbox, shutdown, localUpstream } =
      this.components;
    const { identity, membership, router } = this.options;
    localUpstream.tick(now);
    calls.tick(now);
    members.tick(now);
    configuration.tick(membership.isBridge, now);
    keyedRequests.tick(now);
    for (const { server, service } of router.targetsDueForProbe(now)) {
      if (server === identity.server) this.probeOwnGate(now);
      else outbox.send(server, { kind: 'load-probe', service });
    }
    shutdown.tick(now);
  }

  /**
   * Reads the gate directly, because sending a frame would open a connection from the node to
   * itself.
   */
  private probeOwnGate(now: ClockReading): void {
    const { gate, identity, router } = this.options;
    const load = gate.loadReport(now);
    if (load !== undefined) router.onLoadReport(identity.server, load, now);
  }
}
