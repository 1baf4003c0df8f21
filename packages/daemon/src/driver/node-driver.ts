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

/** The part of the server for callers that the driver uses. */
export interface CallerPort {
  reply(command: ReplyToCallerCommand): void;
}

/** The part of the client of the local upstream that the driver uses. */
export interface UpstreamPort {
  run(command: RunUpstreamCommand, body?: Readable): void;
  cancel(executionId: number): void;
  poll(): void;
}

/** The part of the client of the platform's key-value store that the driver uses. */
export interface StorePort {
  execute(operation: StoreOperation, onResult: (result: StoreResult) => void): void;
}

/**
 * Commands of the core that the driver doesn't execute itself, but passes to `onObservedCommand`.
 */
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
  readonly onObservedCommand: (command: ObservedCommand) => void;
  readonly onOperatorFrame: (from: NodeIdentity, frame: OperatorFrame) => void;
}

/** Passes messages to the core one at a time and executes the commands that the core returns. */
export class NodeDriver {
  private readonly queue: CoreMessage[] = [];
  private timer: NodeJS.Timeout | undefined;
  /** Monotonic time, in milliseconds, for which the timer is set; infinite if none is set. */
  private scheduledTickAt = Number.POSITIVE_INFINITY;
  private isStarted = false;
  private isHandling = false;
  private isClosed = false;

  public constructor(private readonly options: NodeDriverOptions) {}

  /** Delivers the first tick to the core; later ticks are scheduled as the core requests them. */
  public start(): void {
    this.isStarted = true;
    this.deliver({ kind: 'tick' });
  }

  public close(): void {
    this.isClosed = true;
    clearTimeout(this.timer);
    this.options.relay.close();
  }

  /**
   * Passes a message to the core. Messages that arrive while a command is being executed are
   * queued.
   */
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

  /** Handles a frame from another node. */
  public onFrame(from: NodeIdentity, frame: PeerFrame): void {
    switch (frame.kind) {
      case 'body-chunk':
      case 'body-credit':
      case 'body-cut':
      case 'body-end':
      case 'body-stop':
        this.options.relay.onFrame(from.server, frame);
        return;
      case 'operator-answer':
      case 'operator-question':
        this.options.onOperatorFrame(from, frame);
        return;
      default:
        this.deliver({ frame, from: from.server, kind: 'peer-frame' });
    }
  }

  /** Reports to the core that these frames to a server were not sent. */
  public onFramesNotSent(server: string, frames: readonly PeerFrame[]): void {
    for (const frame of frames) {
      if (isCoreFrame(frame)) {
        this.deliver({ congested: false, frame, kind: 'frame-not-sent', to: server });
      }
    }
  }

  /** Handles the loss of the connection to a server. */
  public onPeerLost(server: string): void {
    this.options.relay.onPeerLost(server);
    this.deliver({ kind: 'peer-lost', server });
  }

  /** Schedules the next tick that the core requests, if it is earlier than the scheduled one. */
  private scheduleTick(): void {
    if (!this.isStarted || this.isClosed) return;
    const { clock, core } = this.options;
    const nextTickAt = core.nextTickAt;
    if (nextTickAt >= this.scheduledTickAt) return;
    clearTimeout(this.timer);
    this.scheduledTickAt = nextTickAt;
    this.timer = setTimeout(
      () => {
        this.scheduledTickAt = Number.POSITIVE_INFINITY;
        this.deliver({ kind: 'tick' });
      },
      Math.ceil(Math.max(0, nextTickAt - clock().monotonic)),
    );
  }

  private execute(command: CoreCommand): void {
    const { callers, onObservedCommand, relay, upstream } = this.options;
    switch (command.kind) {
      case 'send-frame':
        this.sendFrame(command);
        return;
      case 'reply-to-caller':
        callers.reply(command);
        return;
      case 'run-upstream': {
        const body = command.streamedBody
          ? relay.createUpstreamRequestBody(command.executionId)
          : undefined;
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
        onObservedCommand(command);
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
