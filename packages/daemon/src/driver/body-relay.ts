import { PassThrough, pipeline } from 'node:stream';
import type { Readable, Writable } from 'node:stream';

import type {
  BodyDirection,
  BodyEndpoint,
  BodyFrame,
  RelayBodyCommand,
  RelayFinishedMessage,
} from '@peridotspring/core';

import { PeerBodySink, PeerBodySource } from './peer-body-stream.js';

export interface BodyRelayOptions {
  readonly callerBody: (requestNumber: number) => Readable | undefined;
  readonly callerSink: (requestNumber: number) => Writable | undefined;
  readonly upstreamAnswer: (executionId: number) => Readable | undefined;
  readonly sendFrame: (server: string, frame: BodyFrame) => void;
  readonly finished: (message: RelayFinishedMessage) => void;
}

/** Moves streamed bodies between callers, nodes and the upstream, with back-pressure. */
export class BodyRelay {
  private readonly peerBodies = new Map<string, PeerBodySource | PeerBodySink>();
  private readonly upstreamBodies = new Map<number, PassThrough>();

  public constructor(private readonly options: BodyRelayOptions) {}

  /** The stream of a request body that a `relay-body` command will fill. */
  public upstreamBody(executionId: number): Readable {
    const body = new PassThrough();
    this.upstreamBodies.set(executionId, body);
    body.once('close', () => {
      this.upstreamBodies.delete(executionId);
    });
    // The upstream's client sees the fault; without a listener it would stop the process.
    body.on('error', () => undefined);
    return body;
  }

  public start(command: RelayBodyCommand): void {
    const { direction, from, to } = command;
    const source = this.source(from, direction);
    const sink = this.sink(to, direction);
    if (source === undefined || sink === undefined) {
      source?.destroy();
      sink?.destroy();
      this.options.finished({ complete: false, from, kind: 'relay-finished', to });
      return;
    }
    pipeline(source, sink, (error) => {
      this.options.finished({
        complete: !error,
        from,
        kind: 'relay-finished',
        to,
      });
    });
  }

  /** Takes a body frame of another node. Frames of bodies that are gone are dropped. */
  public frame(server: string, frame: BodyFrame): void {
    const { callId, direction, kind } = frame;
    const isFromReceiver = kind === 'body-credit' || kind === 'body-stop';
    const role = isFromReceiver ? 'sink' : 'source';
    this.peerBodies.get(bodyKey(role, server, callId, direction))?.frame(frame);
  }

  /** Every body that comes from or goes to the server is cut. */
  public peerLost(server: string): void {
    for (const [key, body] of [...this.peerBodies]) {
      if (key.startsWith(`${server}#`)) {
        body.destroy(new Error('the connection to the node was lost'));
      }
    }
  }

  public drop(endpoint: BodyEndpoint): void {
    if (endpoint.kind === 'peer') {
      const { callId, server } = endpoint;
      this.peerBodies.get(bodyKey('source', server, callId, 'answer'))?.destroy();
      this.peerBodies.get(bodyKey('sink', server, callId, 'request'))?.destroy();
    } else if (endpoint.kind === 'upstream') {
      this.upstreamBodies.get(endpoint.executionId)?.destroy();
    }
  }

  public close(): void {
    for (const body of [...this.peerBodies.values(), ...this.upstreamBodies.values()]) {
      body.destroy();
    }
  }

  private source(endpoint: BodyEndpoint, direction: BodyDirection): Readable | undefined {
    switch (endpoint.kind) {
      case 'caller':
        return this.options.callerBody(endpoint.requestNumber);
      case 'upstream':
        return this.options.upstreamAnswer(endpoint.executionId);
      case 'peer': {
        const { callId, server } = endpoint;
        const key = bodyKey('source', server, callId, direction);
        return this.register(key, new PeerBodySource(this.peerOptions(key, endpoint, direction)));
      }
    }
  }

  private sink(endpoint: BodyEndpoint, direction: BodyDirection): Writable | undefined {
    switch (endpoint.kind) {
      case 'caller':
        return this.options.callerSink(endpoint.requestNumber);
      case 'upstream':
        return this.upstreamBodies.get(endpoint.executionId);
      case 'peer': {
        const { callId, server } = endpoint;
        const key = bodyKey('sink', server, callId, direction);
        return this.register(key, new PeerBodySink(this.peerOptions(key, endpoint, direction)));
      }
    }
  }

  private register<Body extends PeerBodySource | PeerBodySink>(key: string, body: Body): Body {
    this.peerBodies.set(key, body);
    return body;
  }

  private peerOptions(
    key: string,
    { callId, server }: Extract<BodyEndpoint, { readonly kind: 'peer' }>,
    direction: BodyDirection,
  ): ConstructorParameters<typeof PeerBodySource>[0] {
    return {
      closed: () => {
        this.peerBodies.delete(key);
      },
      identity: { callId, direction },
      send: (frame) => {
        this.options.sendFrame(server, frame);
      },
    };
  }
}

function bodyKey(
  role: 'sink' | 'source',
  server: string,
  callId: number,
  direction: BodyDirection,
): string {
  return `${server}#${role}#${callId}#${direction}`;
}
