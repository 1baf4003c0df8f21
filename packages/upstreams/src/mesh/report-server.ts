import { toContainableError } from '@peridotspring/core';
import { SequentialServer } from '@peridotspring/http-server';
import type { SequentialRequest, SharedServerOptions } from '@peridotspring/http-server';
import type { ServerReport } from '@peridotspring/mesh-core';

import { localPortLimits } from './local-port-limits.js';

const maximumBodyBytes = 16_384;
const anyFreePort = 0;
const responseFields = { 'content-type': 'application/json' } as const;

/** A message of the server beside the node, or why the request was rejected. */
export type ServerMessage =
  | { readonly kind: 'report'; readonly report: ServerReport }
  | { readonly kind: 'leave'; readonly instanceId: string }
  | { readonly kind: 'invalid'; readonly status: number; readonly message: string };

/** Parses the HTTP requests with which a server reports its state, and encodes the responses. */
export interface ServerMessageCodec {
  parse(method: string, path: string, body: string): ServerMessage;
  /** The body that confirms a message; later reports go to the address, if there is one. */
  encodeConfirmation(reportAddress: string | undefined): string;
}

/** What a server hears of a message. */
export interface MessageVerdict {
  /** Whether the message is confirmed. */
  readonly isBinding: boolean;
  /** Whether the server has to show that it is running, by a report to an address that no earlier process has named. */
  readonly requiresFreshReport: boolean;
}

export interface ReportServerOptions extends SharedServerOptions {
  readonly codec: ServerMessageCodec;
  /**
   * Awaited before the response is sent, so that the response confirms that the message was processed. `isFresh` says that the
   * server sent the message after it had received a response of this process.
   */
  readonly onMessage: (message: ServerMessage, isFresh: boolean) => Promise<MessageVerdict>;
  /** An error ended one message, which was not confirmed; the server sends it again. */
  readonly onErrorContained: (error: Error) => void;
}

/** HTTP server on which the server beside the node reports its state and leaves. */
export class ReportServer {
  private readonly server: SequentialServer;
  /** Listens at a port that only responses of this process name. */
  private freshServer: SequentialServer | undefined;
  private freshAddress: Promise<string | undefined> | undefined;

  public constructor(private readonly options: ReportServerOptions) {
    this.server = this.createServer(options.bindPort, false);
  }

  public async listen(): Promise<void> {
    await this.server.listen();
  }

  public async close(): Promise<void> {
    await Promise.all([this.server.close(), this.freshServer?.close()]);
  }

  private createServer(bindPort: number, isFresh: boolean): SequentialServer {
    const { options } = this;
    return new SequentialServer({
      ...localPortLimits,
      ...options,
      bindPort,
      onRequest: (request) => {
        this.handleRequest(request, isFresh).catch((error: unknown) => {
          const containedError = toContainableError(error);
          request.close();
          options.onErrorContained(containedError);
        });
      },
    });
  }

  /** Resolves to undefined if the process can't listen at another port. */
  private async openFreshAddress(): Promise<string | undefined> {
    this.freshServer = this.createServer(anyFreePort, true);
    try {
      return `${this.options.bindHost}:${await this.freshServer.listen()}`;
    } catch (error) {
      this.options.onErrorContained(toContainableError(error));
      return undefined;
    }
  }

  private async handleRequest(request: SequentialRequest, isFresh: boolean): Promise<void> {
    const { method = '', url = '/' } = request.message;
    const body = await request.readBody(maximumBodyBytes);
    if (body === undefined) return;
    if (body.kind === 'whole') {
      await this.deliver(request, this.options.codec.parse(method, url, body.text), isFresh);
      return;
    }
    const message = `request body exceeds the limit of ${maximumBodyBytes} bytes`;
    await this.deliver(request, { kind: 'invalid', message, status: 413 }, isFresh);
  }

  private async deliver(
    request: SequentialRequest,
    message: ServerMessage,
    isFresh: boolean,
  ): Promise<void> {
    const { codec, onMessage } = this.options;
    const { isBinding, requiresFreshReport } = await onMessage(message, isFresh);
    if (message.kind === 'invalid') {
      this.respondWithError(request, message.status, message.message);
      return;
    }
    if (!isBinding) {
      // The server may repeat the message, here or at another node.
      this.respondWithError(request, 503, 'the departure could not be recorded');
      return;
    }
    if (requiresFreshReport) this.freshAddress ??= this.openFreshAddress();
    const reportAddress = requiresFreshReport ? await this.freshAddress : undefined;
    request.respond(200, responseFields, codec.encodeConfirmation(reportAddress));
  }

  private respondWithError(request: SequentialRequest, status: number, error: string): void {
    request.respond(status, responseFields, JSON.stringify({ error }));
  }
}
