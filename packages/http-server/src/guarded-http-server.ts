import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer as createListener } from 'node:net';
import type { Server as Listener } from 'node:net';
import type { Duplex } from 'node:stream';

import { ClientFault, findFormFault } from '@peridotspring/mesh-core';
import type { RequestFormRules } from '@peridotspring/mesh-core';

import { ClientStream } from './client-stream.js';
import type { ClientHandlers, ClientStreamOptions } from './client-stream.js';
import { faultOfParserError, isDisconnect } from './fault-response.js';

/** The parser's own limit on heads by default. It is fixed when the server is created, so a limit that may change lies below it. */
const defaultParserHeaderBytes = 1_048_576;
/** A socket that is paused reads once more and keeps what it has read, but not a list of short chunks. */
const socketBufferBytes = 1;
const noFormRules: RequestFormRules = { refusedFields: new Set(), singleFields: new Set() };
/** Interval of the checks on the time that clients take. */
const checkMilliseconds = 1_000;

/** The connection of a client whose request has been parsed. */
export interface ReceivedRequest {
  readonly message: IncomingMessage;
  readonly response: ServerResponse;
  readonly stream: ClientStream;
}

export interface GuardedHttpServerOptions extends ClientStreamOptions {
  readonly bindHost: string;
  readonly bindPort: number;
  /** The parser's own limit on names and values of a head, for servers whose limit never changes. */
  readonly parserHeaderBytes?: number;
  /** Fields that the owner reads or can't pass on; requests that are ambiguous in them are refused. */
  readonly formRules?: Partial<RequestFormRules>;
  /** Returns who decides about a new connection; undefined if it is to be closed. */
  readonly accept: (stream: ClientStream) => ClientHandlers | undefined;
  /** Must call `beginRequest` of the stream. */
  readonly onRequest: (request: ReceivedRequest) => void;
}

/** The HTTP server of Node.js, whose parser gets what clients send through a `ClientStream` each. */
export class GuardedHttpServer {
  private readonly http: Server;
  private readonly listener: Listener;
  private readonly streams = new Map<Duplex, ClientStream>();
  private timer: NodeJS.Timeout | undefined;

  public constructor(private readonly options: GuardedHttpServerOptions) {
    this.http = createServer({
      // The streams check the time that a client takes; those of Node.js see neither empty lines nor what is not parsed yet.
      headersTimeout: 0,
      insecureHTTPParser: false,
      keepAliveTimeout: options.limits().idleTimeoutMilliseconds,
      maxHeaderSize: options.parserHeaderBytes ?? defaultParserHeaderBytes,
      requestTimeout: 0,
    });
    const formRules = { ...noFormRules, ...options.formRules };
    // By default, fields after the thousandth are dropped without an error, also those that tell of a body.
    this.http.maxHeadersCount = 0;
    this.http.on('request', (message, response) => {
      const stream = this.streams.get(message.socket);
      if (stream === undefined) return;
      const { rawHeaders, url = '' } = message;
      const fault = findFormFault(rawHeaders, url, formRules);
      if (fault === undefined) options.onRequest({ message, response, stream });
      else stream.reject(fault);
    });
    this.http.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      const stream = this.streams.get(socket);
      if (stream === undefined) return;
      if (isDisconnect(stream, error)) stream.destroy();
      else stream.reject(faultOfParserError(error));
    });
    const socketOptions = { allowHalfOpen: true, highWaterMark: socketBufferBytes, noDelay: true };
    this.listener = createListener(socketOptions, (socket) => {
      this.accept(new ClientStream(socket, options));
    });
  }

  /** Starts listening and resolves to the port. */
  public async listen(): Promise<number> {
    const { bindHost, bindPort } = this.options;
    await new Promise<void>((resolve, reject) => {
      this.listener.once('error', reject);
      this.listener.listen(bindPort, bindHost, resolve);
    });
    this.timer = setInterval(() => {
      this.checkProgress();
    }, checkMilliseconds);
    this.timer.unref();
    const address = this.listener.address();
    return typeof address === 'object' && address !== null ? address.port : bindPort;
  }

  /** Applies a changed idle time; the other limits are read when they are needed. */
  public configure(): void {
    this.http.keepAliveTimeout = this.options.limits().idleTimeoutMilliseconds;
  }

  /** Accepts no further connections. */
  public stopListening(): void {
    this.listener.close();
  }

  /** Stops listening and closes all connections. */
  public async close(): Promise<void> {
    clearInterval(this.timer);
    const closed = new Promise<void>((resolve) => {
      this.listener.close(() => {
        resolve();
      });
    });
    for (const stream of this.streams.values()) stream.destroy();
    await closed;
  }

  private accept(stream: ClientStream): void {
    const handlers = this.options.accept(stream);
    if (handlers === undefined || !stream.begin(handlers)) {
      // Nothing has been read, so the client knows that nothing has run.
      handlers?.onFault(ClientFault.NoMemory, false);
      stream.destroy();
      return;
    }
    this.streams.set(stream, stream);
    stream.once('close', () => {
      this.streams.delete(stream);
    });
    this.http.emit('connection', stream);
  }

  private checkProgress(): void {
    for (const stream of this.streams.values()) stream.checkProgress();
  }
}
