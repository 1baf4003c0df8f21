import type { Readable } from 'node:stream';

import { match, P } from 'ts-pattern';

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
  StoreOperation,
  StoreResult,
} from '@peridotspring/core';
import { SendResult } from '@peridotspring/nodes';
import type { NodeConnections } from '@peridotspring/nodes';

import type { BodyRelay } from './body-relay.js';

const tickMilliseconds = 10;

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
  private isHandling = false;
  private isClosed = false;

  public constructor(private readonly options: NodeDriverOptions) {}

  /** Starts the clock of the core. */
  public start(): void {
    this.timer = setInterval(() => {
      this.deliver({ kind: 'tick' });
    }, tickMilliseconds);
  }

  public close(): void {
    this.isClosed = true;
    clearInterval(this.timer);
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
  }

  /** Takes a frame of another node. */
  public frame(from: NodeIdentity, frame: PeerFrame): void {
    match(frame)
      .with({ kind: P.union('body-chunk', 'body-end', 'body-cut', 'body-stop') }, (body) => {
        this.options.relay.frame(from.server, body);
      })
      .with({ kind: 'body-credit' }, (body) => {
        this.options.relay.frame(from.server, body);
      })
      .with({ kind: P.union('operator-question', 'operator-answer') }, (own) => {
        this.options.operatorFrame(from, own);
      })
      .otherwise((decided) => {
        this.deliver({ frame: decided, from: from.server, kind: 'peer-frame' });
      });
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

  private execute(command: CoreCommand): void {
    const { callers, observe, relay, store, upstream } = this.options;
    match(command)
      .with({ kind: 'send-frame' }, (send) => {
        this.sendFrame(send);
      })
      .with({ kind: 'reply-to-caller' }, (reply) => {
        callers.reply(reply);
      })
      .with({ kind: 'run-upstream' }, (run) => {
        const body = run.streamedBody ? relay.upstreamBody(run.executionId) : undefined;
        upstream.run(run, body);
      })
      .with({ kind: 'cancel-upstream' }, ({ executionId }) => {
        upstream.cancel(executionId);
      })
      .with({ kind: 'relay-body' }, (relayed) => {
        relay.start(relayed);
      })
      .with({ kind: 'drop-body' }, ({ endpoint }) => {
        relay.drop(endpoint);
      })
      .with({ kind: 'poll-upstream' }, () => {
        upstream.poll();
      })
      .with({ kind: 'store' }, ({ client, operation, operationId }) => {
        store.execute(operation, (result) => {
          this.deliver({ client, kind: 'store-result', operationId, result });
        });
      })
      .otherwise(observe);
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
