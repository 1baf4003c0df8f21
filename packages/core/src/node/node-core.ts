import { match, P } from 'ts-pattern';

import type { CallEngineContract } from '../calls/call-contract.js';
import type {
  ConfigurationCommand,
  ConfigurationKeeperContract,
} from '../configuration/configuration-contract.js';
import type { GateContract } from '../gate/gate-contract.js';
import type { HomeKeeperContract } from '../homes/home-contract.js';
import type { MembershipCommand, MembershipContract } from '../membership/membership-contract.js';
import type { CoreCommand } from '../messages/core-command.js';
import type {
  CallerRequestMessage,
  CoreMessage,
  FrameNotSentMessage,
} from '../messages/core-message.js';
import type { CoreFrame } from '../messages/frames.js';
import type { NodeIdentity } from '../messages/identity.js';
import { RequestClass } from '../messages/outcome.js';
import type { Configuration } from '../messages/service-configuration.js';
import { StoreClient } from '../messages/store.js';
import type { StoreResult } from '../messages/store.js';
import type { RouterContract } from '../routing/router-contract.js';
import type { ClockReading } from '../shared/clock-reading.js';
import type { RandomSource } from '../shared/random-source.js';
import { assertInvariant } from '../shared/invariant-error.js';
import { CallBoard } from './call-board.js';
import { ExecutionBoard } from './execution-board.js';
import { KeyedBoard } from './keyed-board.js';
import { Outbox } from './outbox.js';
import { StopSequence } from './stop-sequence.js';
import { targetOf } from './target-of.js';

/** The parts that a node's decisions are made of. */
export interface NodeParts {
  readonly gate: GateContract;
  readonly router: RouterContract;
  readonly engine: CallEngineContract;
  readonly homes: HomeKeeperContract;
  readonly membership: MembershipContract;
  readonly configuration: ConfigurationKeeperContract;
}

export interface NodeCoreOptions extends NodeParts {
  readonly identity: NodeIdentity;
  readonly random: RandomSource;
}

/**
 * Every decision of one node. A driver delivers messages with a clock reading and carries out the
 * commands that come back, in their order.
 */
export class NodeCore {
  private readonly outbox: Outbox;
  private readonly executions: ExecutionBoard;
  private readonly calls: CallBoard;
  private readonly keyed: KeyedBoard;
  private readonly stop: StopSequence;
  private nextCallId = -1;
  private membersChanged = false;
  private upstreamDraining = false;

  public constructor(private readonly options: NodeCoreOptions) {
    const { engine, gate, homes, identity, membership, random, router } = options;
    const self = identity.server;
    this.outbox = new Outbox((server) => membership.member(server)?.peerAddress);
    const { outbox } = this;
    this.executions = new ExecutionBoard({
      gate,
      localResult: (frame, now) => {
        this.calls.frame(self, frame, now);
      },
      outbox,
      self,
    });
    this.calls = new CallBoard({
      cancelLocally: (callId) => {
        this.executions.cancel(self, callId);
      },
      engine,
      homeConcluded: (dispatchId, outcome, answer, now) => {
        this.keyed.concluded(dispatchId, outcome, answer, now);
      },
      localAnswerStream: (callId) => this.executions.localAnswerStream(callId),
      outbox,
      router,
      self,
      startLocally: (frame, body, now) => {
        this.executions.start(self, frame, body, now);
      },
    });
    this.keyed = new KeyedBoard({
      handedOver: (now) => {
        this.stop.handedOver(now);
      },
      homes,
      // Attempts count upwards from 1; keyed requests count downwards, so the two never meet.
      nextCallId: () => this.nextCallId--,
      outbox,
      random,
      router,
      run: ({ body, dispatchId, head, remainingMilliseconds }, now) => {
        const owner = { dispatchId, kind: 'home' } as const;
        const requestClass = RequestClass.NonIdempotent;
        const call = { body, head, owner, requestClass, streamedBody: false };
        this.calls.begin(call, remainingMilliseconds, now);
      },
      self,
    });
    this.stop = new StopSequence({
      beginDraining: (now) => {
        this.updateDraining(now);
      },
      handOver: (now) => {
        this.keyed.handOver(now);
      },
      inProgress: () => this.calls.inProgress + this.executions.size + this.keyed.inProgress,
      leave: (now) => {
        this.applyMembership(membership.leave(now), now);
      },
      outbox,
    });
  }

  /** Takes one message and returns what is to be done. */
  public handle(message: CoreMessage, now: ClockReading): readonly CoreCommand[] {
    this.dispatch(message, now);
    return this.outbox.take();
  }

  /** The parts, for operators' questions. */
  public get parts(): NodeParts {
    return this.options;
  }

  private dispatch(message: CoreMessage, now: ClockReading): void {
    const { gate, membership } = this.options;
    match(message)
      .with({ kind: 'caller-request' }, (request) => {
        this.callerRequest(request, now);
      })
      .with({ kind: 'caller-gone' }, ({ requestNumber }) => {
        this.calls.callerGone(requestNumber, now);
        this.keyed.callerGone(requestNumber);
      })
      .with({ kind: 'peer-frame' }, ({ frame, from }) => {
        this.frame(from, frame, now);
      })
      .with({ kind: 'frame-not-sent' }, (notSent) => {
        this.notSent(notSent, now);
      })
      .with({ kind: 'peer-lost' }, ({ server }) => {
        this.executions.peerLost(server);
        this.calls.peerLost(server, now);
        this.keyed.peerLost(server, now);
        this.applyMembership(membership.peerLost(server, now), now);
      })
      .with({ kind: 'upstream-announced' }, ({ announcement }) => {
        this.executions.apply(gate.announce(announcement, now), now);
        this.configureGate(announcement.service, now);
        this.applyMembership(membership.announce(announcement, now), now);
        this.upstreamDraining = false;
        this.updateDraining(now);
      })
      .with({ kind: 'upstream-drain' }, ({ draining }) => {
        this.upstreamDraining = draining;
        this.updateDraining(now);
      })
      .with({ kind: 'upstream-left' }, () => {
        this.executions.apply(gate.leave(now), now);
        this.upstreamDraining = true;
        this.updateDraining(now);
      })
      .with({ kind: 'upstream-result' }, ({ executionId, result }) => {
        this.executions.upstreamResult(executionId, result, now);
      })
      .with({ kind: 'upstream-finished' }, ({ complete, executionId }) => {
        this.executions.upstreamFinished(executionId, complete, now);
      })
      .with({ kind: 'relay-finished' }, ({ to }) => {
        if (to.kind === 'caller') {
          this.calls.streamFinished(to.requestNumber);
        }
      })
      .with({ kind: 'upstream-polled' }, ({ healthy, inFlight }) => {
        this.executions.apply(gate.polled(healthy, inFlight, now), now);
      })
      .with({ kind: 'store-result' }, ({ client, operationId, result }) => {
        this.storeResult(client, operationId, result, now);
      })
      .with({ kind: 'propose-configuration' }, (proposal) => {
        this.applyConfiguration(this.options.configuration.propose(proposal, now), now);
      })
      .with({ kind: 'stop' }, () => {
        this.stop.begin(now);
      })
      .with({ kind: 'tick' }, () => {
        this.tick(now);
      })
      .exhaustive();
  }

  private callerRequest(request: CallerRequestMessage, now: ClockReading): void {
    const { body, deadlineMilliseconds, digest, head, key, requestNumber } = request;
    const { requestClass, streamedBody } = request;
    if (requestClass === RequestClass.Idempotent) {
      const owner = { kind: 'caller', requestNumber } as const;
      const call = { body, head, owner, requestClass, streamedBody };
      this.calls.begin(call, deadlineMilliseconds, now);
      return;
    }
    assertInvariant(
      key !== undefined && digest !== undefined && !streamedBody,
      'a non-idempotent request has a key, a digest and its whole body',
    );
    const deadline = now.monotonic + deadlineMilliseconds;
    const receivedAt = now.wall;
    const whole = body ?? new Uint8Array();
    this.keyed.begin({ body: whole, deadline, digest, head, key, receivedAt, requestNumber }, now);
  }

  private frame(from: string, frame: CoreFrame, now: ClockReading): void {
    const { configuration, gate, membership, router } = this.options;
    match(frame)
      .with({ kind: 'request-start' }, (start) => {
        this.executions.start(from, start, undefined, now);
      })
      .with({ kind: 'request-cancel' }, ({ callId }) => {
        this.executions.cancel(from, callId);
      })
      .with(
        { kind: P.union('request-admitted', 'request-refused', 'answer', 'request-failed') },
        (result) => {
          this.calls.frame(from, result, now);
        },
      )
      .with(
        { kind: P.union('keyed-request', 'keyed-outcome', 'key-question', 'key-answer') },
        (keyed) => {
          this.keyed.keyedFrame(from, keyed, now);
        },
      )
      .with(
        { kind: P.union('home-confirm', 'home-promise', 'home-table-request', 'home-table') },
        { kind: P.union('records-transfer', 'records-received') },
        (home) => {
          this.keyed.homeFrame(from, home, now);
        },
      )
      .with(
        { kind: P.union('ping', 'acknowledgement', 'ping-request') },
        { kind: P.union('member-updates', 'member-sync') },
        (member) => {
          this.applyMembership(membership.frame(from, member, now), now);
        },
      )
      .with({ kind: P.union('configuration-push', 'configuration-pull') }, (change) => {
        this.applyConfiguration(configuration.frame(from, change, now), now);
      })
      .with({ kind: 'load-probe' }, () => {
        this.outbox.send(from, { kind: 'load-report', load: gate.load(now) });
      })
      .with({ kind: 'load-report' }, ({ load }) => {
        if (load !== undefined) {
          router.reported(from, load, now);
        }
      })
      .exhaustive();
  }

  private notSent({ frame }: FrameNotSentMessage, now: ClockReading): void {
    if (frame.kind === 'request-start') {
      this.calls.notSent(frame.callId, now);
    } else if (frame.kind === 'keyed-request') {
      this.keyed.notSent(frame.callId, now);
    }
  }

  private storeResult(
    client: StoreClient,
    operationId: number,
    result: StoreResult,
    now: ClockReading,
  ): void {
    const { configuration, membership } = this.options;
    switch (client) {
      case StoreClient.Configuration:
        this.applyConfiguration(configuration.storeResult(operationId, result, now), now);
        return;
      case StoreClient.Homes:
        this.keyed.storeResult(operationId, result, now);
        return;
      case StoreClient.Membership:
        this.applyMembership(membership.storeResult(operationId, result, now), now);
    }
  }

  private tick(now: ClockReading): void {
    const { configuration, gate, membership, router } = this.options;
    this.executions.apply(gate.tick(now), now);
    this.calls.tick(now);
    this.applyMembership(membership.tick(now), now);
    if (this.membersChanged) {
      this.membersChanged = false;
      const members = membership.members();
      this.keyed.members(members, now);
      configuration.setPeers(this.configurationPeers());
    }
    this.applyConfiguration(configuration.setWatching(membership.isBridge, now), now);
    this.applyConfiguration(configuration.tick(now), now);
    this.keyed.tick(now);
    for (const target of router.dueForProbe(now)) {
      this.outbox.send(target.server, { kind: 'load-probe', service: target.service });
    }
    this.stop.tick(now);
  }

  private configurationPeers(): string[] {
    const { identity, membership } = this.options;
    const peers: string[] = [];
    for (const member of membership.members()) {
      const isAlive = member.state !== 'dead' && member.state !== 'left';
      const isNear = member.availabilityZone === identity.availabilityZone;
      if (isAlive && isNear && member.server !== identity.server) {
        peers.push(member.server);
      }
    }
    return peers;
  }

  private applyMembership(commands: readonly MembershipCommand[], now: ClockReading): void {
    const { configuration, router } = this.options;
    for (const command of commands) {
      match(command)
        .with({ kind: 'send' }, ({ address, frame, to }) => {
          this.outbox.push({ address, frame, kind: 'send-frame', to });
        })
        .with({ kind: 'store' }, ({ operation, operationId }) => {
          const client = StoreClient.Membership;
          this.outbox.push({ client, kind: 'store', operation, operationId });
        })
        .with({ kind: 'member-changed' }, ({ member, reachable }) => {
          this.membersChanged = true;
          const target = reachable ? targetOf(member) : undefined;
          if (target === undefined) {
            router.remove(member.server);
          } else {
            router.upsert(target, now);
          }
        })
        .with({ kind: 'revision-seen' }, ({ revision, server }) => {
          this.applyConfiguration(configuration.revisionSeen(server, revision, now), now);
        })
        .with({ kind: 'count' }, { kind: 'log' }, (own) => {
          this.outbox.push(own);
        })
        .exhaustive();
    }
  }

  private applyConfiguration(commands: readonly ConfigurationCommand[], now: ClockReading): void {
    for (const command of commands) {
      match(command)
        .with({ kind: 'send' }, ({ frame, to }) => {
          this.outbox.send(to, frame);
        })
        .with({ kind: 'store' }, ({ operation, operationId }) => {
          const client = StoreClient.Configuration;
          this.outbox.push({ client, kind: 'store', operation, operationId });
        })
        .with({ kind: 'configuration-in-force' }, (inForce) => {
          this.outbox.push(inForce);
          this.configurationInForce(inForce.configuration, now);
        })
        .with({ kind: 'proposal-concluded' }, { kind: 'count' }, { kind: 'log' }, (own) => {
          this.outbox.push(own);
        })
        .exhaustive();
    }
  }

  private configurationInForce(configuration: Configuration, now: ClockReading): void {
    const { engine, gate, membership } = this.options;
    for (const service of Object.values(configuration.services)) {
      engine.configure(service);
    }
    membership.setConfigurationRevision(configuration.revision);
    const served = gate.load(now)?.service;
    if (served !== undefined) {
      this.configureGate(served, now);
    }
    this.updateDraining(now);
  }

  private configureGate(service: string, now: ClockReading): void {
    const { configuration, gate } = this.options;
    const declared = configuration.inForce.services[service];
    if (declared !== undefined) {
      this.executions.apply(gate.configure(declared, now), now);
    }
  }

  /** The gate drains when the upstream, an operator or a planned stop asks for it. */
  private updateDraining(now: ClockReading): void {
    const { configuration, gate, identity, membership } = this.options;
    const { drainedAvailabilityZones, drainedServers } = configuration.inForce;
    const draining =
      this.upstreamDraining ||
      this.stop.isStopping ||
      drainedServers.includes(identity.server) ||
      drainedAvailabilityZones.includes(identity.availabilityZone);
    this.executions.apply(gate.setDraining(draining, now), now);
    this.applyMembership(membership.setDraining(draining, now), now);
  }
}
