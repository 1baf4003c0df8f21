import { Agent, request as httpRequest } from 'node:http';
import type { IncomingMessage } from 'node:http';

import { ByteAccumulator } from '@peridotspring/core';
import { findStatusFault } from '@peridotspring/mesh-core';

import type {
  StoreResponse,
  StoreCall,
  StoreCallCodec,
  StoreTransport,
} from './key-value-store.js';

/** A store that is slowed down by a factor of 80 responds within 350 ms; later responses are not awaited. */
const defaultResponseTimeoutMilliseconds = 1_500;
const maximumResponseBytes = 4_194_304;
/** Delay of the first TCP keep-alive probe on an idle connection, which detects dead connections. */
const keepAliveProbeDelayMilliseconds = 1_000;

export interface HttpStoreTransportOptions {
  readonly host: string;
  readonly port: number;
  readonly contentType: string;
  readonly codec: Pick<StoreCallCodec, 'eraHeader' | 'parseEra'>;
  /** Called after each call with its name, the kind of its outcome and its duration. */
  readonly onCallCompleted: (call: string, outcome: string, milliseconds: number) => void;
  readonly clock: () => number;
}

/** Sends calls to the store over HTTP. A connection on which a call failed is not reused. */
export class HttpStoreTransport implements StoreTransport {
  private readonly agent = new Agent({
    keepAlive: true,
    keepAliveMsecs: keepAliveProbeDelayMilliseconds,
  });

  public constructor(private readonly options: HttpStoreTransportOptions) {}

  public async execute<Value>(
    call: StoreCall<Value>,
    signal?: AbortSignal,
  ): Promise<StoreResponse<Value>> {
    const { clock, onCallCompleted } = this.options;
    const startedAt = clock();
    if (call.isRepeat === true) this.closeIdleConnections();
    const outcome = await this.send(call, signal);
    onCallCompleted(call.name, outcome.kind, clock() - startedAt);
    return outcome;
  }

  public close(): void {
    this.agent.destroy();
  }

  private send<Value>(
    call: StoreCall<Value>,
    signal: AbortSignal | undefined,
  ): Promise<StoreResponse<Value>> {
    const { contentType, host, port } = this.options;
    const {
      body,
      holdMilliseconds = 0,
      method,
      path,
      responseTimeoutMilliseconds = defaultResponseTimeoutMilliseconds,
    } = call;
    const headers = body === undefined ? {} : { 'content-type': contentType };
    return new Promise((resolve) => {
      const fail = (detail: string): void => {
        clearTimeout(timer);
        resolve({ detail, kind: 'unavailable' });
        request.destroy();
      };
      const request = httpRequest({ agent: this.agent, headers, host, method, path, port, signal });
      // By default, fields after the thousandth are dropped without an error.
      request.maxHeadersCount = 0;
      const timer = setTimeout(() => {
        fail('no response in time');
        this.closeIdleConnections();
      }, holdMilliseconds + responseTimeoutMilliseconds);
      request.on('error', (error) => {
        fail(error.message);
      });
      request.on('response', (response) => {
        const statusFault = findStatusFault(response.statusCode ?? 0);
        if (statusFault !== undefined) {
          response.on('error', () => undefined);
          fail(statusFault);
          return;
        }
        const bytes = new ByteAccumulator(maximumResponseBytes);
        response.on('data', (chunk: Buffer) => {
          bytes.append(chunk);
          if (bytes.length > maximumResponseBytes) fail('response too long');
        });
        response.on('error', (error) => {
          fail(error.message);
        });
        response.on('close', () => {
          if (!response.complete) fail('response aborted before the end of its body');
        });
        response.on('end', () => {
          clearTimeout(timer);
          const text = Buffer.from(bytes.take()).toString('utf8');
          resolve({ ...call.parse(response.statusCode ?? 0, text), era: this.readEra(response) });
        });
      });
      request.end(body);
    });
  }

  /** Connections that were open together often go silent together, without a reset. */
  private closeIdleConnections(): void {
    for (const sockets of Object.values(this.agent.freeSockets)) {
      for (const socket of sockets ?? []) socket.destroy();
    }
  }

  private readEra({ headers }: IncomingMessage): number | undefined {
    const { eraHeader, parseEra } = this.options.codec;
    const value = headers[eraHeader];
    return typeof value === 'string' ? parseEra(value) : undefined;
  }
}
