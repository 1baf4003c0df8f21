import type { Readable } from 'node:stream';

import type {
  ClockReading,
  CoreCommand,
  CoreFrame,
  CoreMessage,
  NodeCore,
  NodeIdentity,
  OperatorFrame,
  PeerFrame,
  ReplyToCallerCommand,
  RunUpstreamCommand,
  SendFrameCommand,
  StoreCommand,
  StoreOperation,
  StoreResult,
} from '@peridotspring/core';
import { SendResult } from '@peridotspring/nodes';
import type { NodeConnections } from '@peridotspring/nodes';

import type { BodyRelay } from './body-relay.js';

/** What the driver needs of the callers' server. */
export interface CallerPort {
  reply(command: ReplyToCallerCommand): void;
}

/** What the driver needs of the client of the local upstream. */
export interface UpstreamPort {
  run(command: RunUpstreamCommand, body?: Readable): void;
  cancel(executionId: number): void;
  poll(): void;
}

/** What the driver needs of the platform's client. */
export interface StorePort {
  execute(operation: StoreOperation, deliver: (result: StoreResult) => void): void;
}

/** Commands that concern operators only. */
export type ObservedCommand = Extract<
  CoreCommand,
  {
    readonly kind:
      | 'configuration-in-force'
      | 'count'
      | 'journal'
      | 'key-known'
      | 'log'
      | 'proposal-concluded'
      | 'stopped';
  }
>;

export interface NodeDriverOptions {
  readonly core: NodeCore;
  readonly connections: NodeConnections;
  readonly relay: BodyRelay;
  readonly callers: CallerPort;
  readonly upstream: UpstreamPort;
  readonly store: StorePort;
  readonly clock: () => ClockReading;
  readonly observe: (command: ObservedCommand) => void;
  readonly operatorFrame: (from: NodeIdentity, frame: OperatorFrame) => void;
}

/** Delivers messages to the core one after the other and carries out its commands. */
export class NodeDriver {
  private readonly queue: CoreMessage[] = [];
  private timer: NodeJS.Timeout | undefined;
  /** Monotonic time of the next tick. */
  private tickAt = Number.POSITIVE_INFINITY;
  private isStarted = false;
  private isHandling = false;
  private isClosed = false;

  public constructor(private readonly options: NodeDriverOptions) {}

  /** Starts the clock of the core. */
  public start(): void {
    this.isStarted = true;
    this.deliver({ kind: 'tick' });
  }

  public close(): void {
    this.isClosed = true;
    clearTimeout(this.timer);
    this.options.relay.close();
  }

  /** Hands a message to the core. A message that comes up while a command is carried out waits. */
  public deliver(message: CoreMessage): void {
    if (this.isClosed) {
      return;
    }
    this.queue.push(message);
    if (this.isHandling) {
      return;
    }
    this.isHandling = true;
    try {
      for (let next = this.queue.shift(); next !== undefined; next = this.queue.shift()) {
        for (const command of this.options.core.handle(next, this.options.clock())) {
          this.execute(command);
        }
      }
    } finally {
      this.isHandling = false;
    }
    this.scheduleTick();
  }

  /** Takes a frame of another node. */
  public frame(from: NodeIdentity, frame: PeerFrame): void {
    switch (frame.kind) {
      case 'body-chunk':
      case 'body-credit':
      case 'body-cut':
      case 'body-end':
      case 'body-stop':
        this.options.relay.frame(from.server, frame);
        return;
      case 'operator-answer':
      case 'operator-question':
        this.options.operatorFrame(from, frame);
        return;
      default:
        this.deliver({ frame, from: from.server, kind: 'peer-frame' });
    }
  }

  /** Frames to a server never left this node. */
  public unsent(server: string, frames: readonly PeerFrame[]): void {
    for (const frame of frames) {
      if (isCoreFrame(frame)) {
        this.deliver({ congested: false, frame, kind: 'frame-not-sent', to: server });
      }
    }
  }

  /** The connection to a server is gone. */
  public peerLost(server: string): void {
    this.options.relay.peerLost(server);
    this.deliver({ kind: 'peer-lost', server });
  }

  /** Sets the timer to the tick that the core needs next, if that is earlier than the one set. */
  private scheduleTick(): void {
    if (!this.isStarted || this.isClosed) return;
    const { clock, core } = this.options;
    const nextTickAt = core.nextTickAt;
    if (nextTickAt >= this.tickAt) return;
    clearTimeout(this.timer);
    this.tickAt = nextTickAt;
    this.timer = setTimeout(
      () => {
        this.tickAt = Number.POSITIVE_INFINITY;
        this.deliver({ kind: 'tick' });
      },
      Math.ceil(Math.max(0, nextTickAt - clock().monotonic)),
    );
  }

  private execute(command: CoreCommand): void {
    const { callers, observe, relay, upstream } = this.options;
    switch (command.kind) {
      case 'send-frame':
        this.sendFrame(command);
        return;
      case 'reply-to-caller':
        callers.reply(command);
        return;
      case 'run-upstream': {
        const body = command.streamedBody ? relay.upstreamBody(command.executionId) : undefined;
        upstream.run(command, body);
        return;
      }
      case 'cancel-upstream':
        upstream.cancel(command.executionId);
        return;
      case 'relay-body':
        relay.start(command);
        return;
      case 'drop-body':
        relay.drop(command.endpoint);
        return;
      case 'poll-upstream':
        upstream.poll();
        return;
      case 'store':
        this.runStoreOperation(command);
        return;
      default:
        observe(command);
    }
  }

  private runStoreOperation({ client, operation, operationId }: StoreCommand): void {
    this.options.store.execute(operation, (result) => {
      this.deliver({ client, kind: 'store-result', operationId, result });
    });
  }

  private sendFrame({ address, frame, to }: SendFrameCommand): void {
    const result = this.options.connections.send(to, address, frame);
    if (result !== SendResult.Accepted) {
      const congested = result === SendResult.Congested;
      this.queue.push({ congested, frame, kind: 'frame-not-sent', to });
    }
  }
}

function isCoreFrame(frame: PeerFrame): frame is CoreFrame {
  return !frame.kind.startsWith('body-') && !frame.kind.startsWith('operator-');
}
