import { toContainableError } from '@peridotspring/core';
import { SequentialServer } from '@peridotspring/http-server';
import type { SequentialRequest, SharedServerOptions } from '@peridotspring/http-server';
import type { ServerReport } from '@peridotspring/mesh-core';

import { localPortLimits } from './local-port-limits.js';

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

export interface ReportServerOptions extends SharedServerOptions {
  readonly codec: ServerMessageCodec;
  /** Awaited before the response is sent, so that the response confirms that the message was processed. */
  readonly onMessage: (message: ServerMessage) => Promise<void>;
  /** An error ended one message, which was not confirmed; the server sends it again. */
  readonly onErrorContained: (error: Error) => void;
}

/** HTTP server on which the server beside the node reports its state and leaves. */
export class ReportServer {
  private readonly server: SequentialServer;

  public constructor(private readonly options: ReportServerOptions) {
    this.server = new SequentialServer({
      ...localPortLimits,
      ...options,
      onRequest: (request) => {
        this.handleRequest(request).catch((error: unknown) => {
          const containedError = toContainableError(error);
          request.close();
          options.onErrorContained(containedError);
        });
      },
    });
  }

  public async listen(): Promise<void> {
    await this.server.listen();
  }

  public async close(): Promise<void> {
    await this.server.close();
  }

  private async handleRequest(request: SequentialRequest): Promise<void> {
    const { method = '', url = '/' } = request.message;
    const body = await request.readBody(maximumBodyBytes);
    if (body === undefined) return;
    if (body.kind === 'whole') {
      await this.deliver(request, this.options.codec.parse(method, url, body.text));
      return;
    }
    await this.deliver(request, {
      kind: 'invalid',
      message: `request body exceeds the limit of ${maximumBodyBytes} bytes`,
      status: 413,
    });
  }

  private async deliver(request: SequentialRequest, message: ServerMessage): Promise<void> {
    await this.options.onMessage(message);
    const [status, text] =
      message.kind === 'invalid'
        ? [message.status, JSON.stringify({ error: message.message })]
        : [200, '{}'];
    request.respond(status, { 'content-type': 'application/json' }, text);
  }
}
