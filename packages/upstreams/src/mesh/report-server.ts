import { once } from 'node:events';
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';

import { toContainableError } from '@peridotspring/core';
import type { ServerReport } from '@peridotspring/mesh-core';

import { requestTimeouts } from './request-timeouts.js';

const maximumBodyBytes = 16_384;

/** A message of the server beside the node, or why the request was rejected. */
export type ServerMessage =
  | { readonly kind: 'report'; readonly report: ServerReport }
  | { readonly kind: 'leave'; readonly instanceId: string }
  | { readonly kind: 'invalid'; readonly status: number; readonly message: string };

/** Parses the HTTP requests with which a server reports its state. */
export interface ServerMessageCodec {
  parse(method: string, path: string, body: string): ServerMessage;
}

export interface ReportServerOptions {
  readonly bindHost: string;
  readonly bindPort: number;
  readonly codec: ServerMessageCodec;
  /** Awaited before the response is sent, so that the response confirms that the message was processed. */
  readonly onMessage: (message: ServerMessage) => Promise<void>;
  /** An error ended one message, which was not confirmed; the server sends it again. */
  readonly onErrorContained: (error: Error) => void;
}

/** HTTP server on which the server beside the node reports its state and leaves. */
export class ReportServer {
  private readonly server: Server;

  public constructor(private readonly options: ReportServerOptions) {
    this.server = createServer(requestTimeouts, (request, response) => {
      // A request that was aborted midway gets no response; the server sends it again.
      this.handleRequest(request, response).catch((error: unknown) => {
        const containedError = toContainableError(error);
        const isAborted = request.destroyed && !request.complete;
        response.destroy();
        if (!isAborted) options.onErrorContained(containedError);
      });
    });
  }

  public async listen(): Promise<void> {
    this.server.listen(this.options.bindPort, this.options.bindHost);
    await once(this.server, 'listening');
  }

  public async close(): Promise<void> {
    await new Promise((resolve) => {
      this.server.close(resolve);
      this.server.closeAllConnections();
    });
  }

  private async handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { socket } = request;
    const chunks: Buffer[] = [];
    let bytes = 0;
    for await (const chunk of request) {
      bytes += (chunk as Buffer).length;
      if (bytes > maximumBodyBytes) break;
      chunks.push(chunk as Buffer);
    }
    const message: ServerMessage =
      bytes > maximumBodyBytes
        ? {
            kind: 'invalid',
            message: `request body exceeds the limit of ${maximumBodyBytes} bytes`,
            status: 413,
          }
        : this.options.codec.parse(
            request.method ?? '',
            request.url ?? '/',
            Buffer.concat(chunks).toString('utf8'),
          );
    await this.options.onMessage(message);
    const isInvalid = message.kind === 'invalid';
    response.writeHead(isInvalid ? message.status : 200, { 'content-type': 'application/json' });
    // The rest of an oversized body may be endless, so the connection is closed.
    if (bytes > maximumBodyBytes) response.once('finish', () => socket.destroy());
    response.end(isInvalid ? JSON.stringify({ error: message.message }) : '{}');
  }
}
