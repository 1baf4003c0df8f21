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
  readonly callerRequestBody: (requestNumber: number) => Readable | undefined;
  readonly callerResponseSink: (requestNumber: number) => Writable | undefined;
  readonly upstreamResponseBody: (executionId: number) => Readable | undefined;
  readonly sendFrame: (server: string, frame: BodyFrame) => void;
  readonly onFinished: (message: RelayFinishedMessage) => void;
}

/**
 * Streams request and response bodies between callers, nodes and the local upstream, with
 * back-pressure.
 */
export class BodyRelay {
  private readonly peerBodies = new Map<string, PeerBodySource | PeerBodySink>();
  private readonly upstreamRequestBodies = new Map<number, PassThrough>();

  public constructor(private readonly options: BodyRelayOptions) {}

  /**
   * Creates the stream for a request body to the upstream; a later `relay-body` command fills it.
   */
  public createUpstreamRequestBody(executionId: number): Readable {
    const body = new PassThrough();
    this.upstreamRequestBodies.set(executionId, body);
    body.once('close', () => {
      this.upstreamRequestBodies.delete(executionId);
    });
    // The upstream client handles the error. Without a listener here, Node.js would treat it as
    // uncaught.
    body.on('error', () => undefined);
    return body;
  }

  public start(command: RelayBodyCommand): void {
    const { direction, from, to } = command;
    const source = this.openSource(from, direction);
    const sink = this.openSink(to, direction);
    if (source === undefined || sink === undefined) {
      source?.destroy();
      sink?.destroy();
      this.options.onFinished({ complete: false, from, kind: 'relay-finished', to });
      return;
    }
    pipeline(source, sink, (error) => {
      this.options.onFinished({
        complete: !error,
        from,
        kind: 'relay-finished',
        to,
      });
    });
  }

  /**
   * Handles a body frame from another node. Frames of bodies that are already closed are ignored.
   */
  public onFrame(server: string, frame: BodyFrame): void {
    const { callId, direction, kind } = frame;
    const isFromReceiver = kind === 'body-credit' || kind === 'body-stop';
    const role = isFromReceiver ? 'sink' : 'source';
    this.peerBodies.get(peerBodyKey(role, server, callId, direction))?.onFrame(frame);
  }

  /** Aborts every body that is being streamed from or to the server. */
  public onPeerLost(server: string): void {
    for (const [key, body] of [...this.peerBodies]) {
      if (key.startsWith(`${server}#`)) {
        body.destroy(new Error('the connection to the node was lost'));
      }
    }
  }

  public drop(endpoint: BodyEndpoint): void {
    if (endpoint.kind === 'peer') {
      const { callId, server } = endpoint;
      this.peerBodies.get(peerBodyKey('source', server, callId, 'answer'))?.destroy();
      this.peerBodies.get(peerBodyKey('sink', server, callId, 'request'))?.destroy();
    } else if (endpoint.kind === 'upstream') {
      this.upstreamRequestBodies.get(endpoint.executionId)?.destroy();
    }
  }

  public close(): void {
    for (const body of [...this.peerBodies.values(), ...this.upstreamRequestBodies.values()]) {
      body.destroy();
    }
  }

  private openSource(endpoint: BodyEndpoint, direction: BodyDirection): Readable | undefined {
    switch (endpoint.kind) {
      case 'caller':
        return this.options.callerRequestBody(endpoint.requestNumber);
      case 'upstream':
        return this.options.upstreamResponseBody(endpoint.executionId);
      case 'peer': {
        const { callId, server } = endpoint;
        const key = peerBodyKey('source', server, callId, direction);
        return this.registerPeerBody(
          key,
          new PeerBodySource(this.createPeerBodyOptions(key, endpoint, direction)),
        );
      }
    }
  }

  private openSink(endpoint: BodyEndpoint, direction: BodyDirection): Writable | undefined {
    switch (endpoint.kind) {
      case 'caller':
        return this.options.callerResponseSink(endpoint.requestNumber);
      case 'upstream':
        return this.upstreamRequestBodies.get(endpoint.executionId);
      case 'peer': {
        const { callId, server } = endpoint;
        const key = peerBodyKey('sink', server, callId, direction);
        return this.registerPeerBody(
          key,
          new PeerBodySink(this.createPeerBodyOptions(key, endpoint, direction)),
        );
      }
    }
  }

  private registerPeerBody<Body extends PeerBodySource | PeerBodySink>(
    key: string,
    body: Body,
  ): Body {
    this.peerBodies.set(key, body);
    return body;
  }

  private createPeerBodyOptions(
    key: string,
    { callId, server }: Extract<BodyEndpoint, { readonly kind: 'peer' }>,
    direction: BodyDirection,
  ): ConstructorParameters<typeof PeerBodySource>[0] {
    return {
      onClosed: () => {
        this.peerBodies.delete(key);
      },
      identity: { callId, direction },
      send: (frame) => {
        this.options.sendFrame(server, frame);
      },
    };
  }
}

function peerBodyKey(
  role: 'sink' | 'source',
  server: string,
  callId: number,
  direction: BodyDirection,
): string {
  return `${server}#${role}#${callId}#${direction}`;
}
