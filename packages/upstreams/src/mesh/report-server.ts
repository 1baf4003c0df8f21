import { once } from 'node:events';
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';

import type { ServerReport } from '@peridotspring/mesh-core';

import { requestBounds } from './request-bounds.js';

const maximumBodyBytes = 16_384;

/** What a server told, or why it can't be read. */
export type ServerMessage =
  | { readonly kind: 'report'; readonly report: ServerReport }
  | { readonly kind: 'leave'; readonly instanceId: string }
  | { readonly kind: 'invalid'; readonly status: number; readonly message: string };

/** Form of the calls by which a server tells of itself. */
export interface ServerMessageCodec {
  parse(method: string, path: string, body: string): ServerMessage;
}

export interface ReportServerOptions {
  readonly bindHost: string;
  readonly bindPort: number;
  readonly codec: ServerMessageCodec;
  /** Waited for before the answer is sent, so that an answer confirms what was done. */
  readonly deliver: (message: ServerMessage) => Promise<void>;
}

/** The port on which the server beside the node tells of itself. */
export class ReportServer {
  private readonly server: Server;

  public constructor(private readonly options: ReportServerOptions) {
    this.server = createServer(requestBounds, (request, response) => {
      // A request that was cut gets no answer; the server repeats it.
      this.handle(request, response).catch(() => response.destroy());
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

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
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
        ? { kind: 'invalid', message: `body longer than ${maximumBodyBytes} bytes`, status: 413 }
        : this.options.codec.parse(
            request.method ?? '',
            request.url ?? '/',
            Buffer.concat(chunks).toString('utf8'),
          );
    await this.options.deliver(message);
    const isInvalid = message.kind === 'invalid';
    response.writeHead(isInvalid ? message.status : 200, { 'content-type': 'application/json' });
    // The rest of a body that is too long may have no end.
    if (bytes > maximumBodyBytes) response.once('finish', () => socket.destroy());
    response.end(isInvalid ? JSON.stringify({ error: message.message }) : '{}');
  }
}
