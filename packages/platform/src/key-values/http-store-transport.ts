import { Agent, request as httpRequest } from 'node:http';
import type { IncomingMessage } from 'node:http';

import type { StoreAnswer, StoreCall, StoreCallCodec, StoreTransport } from './key-value-store.js';

/** A store that is slow by a factor of 80 answers within 350 ms; later answers are given up. */
const answerTimeoutMilliseconds = 1_500;
const maximumAnswerBytes = 4_194_304;
/** Delay of the first probe on an idle connection, so that one that went silent is noticed. */
const keepAliveMilliseconds = 1_000;

export interface HttpStoreTransportOptions {
  readonly host: string;
  readonly port: number;
  readonly contentType: string;
  readonly codec: Pick<StoreCallCodec, 'eraHeader' | 'parseEra'>;
  /** Called for each call with its name and what became of it. */
  readonly observed: (call: string, outcome: string, milliseconds: number) => void;
  readonly clock: () => number;
}

/** Calls to the store over HTTP. A connection on which a call failed is not used again. */
export class HttpStoreTransport implements StoreTransport {
  private readonly agent = new Agent({ keepAlive: true, keepAliveMsecs: keepAliveMilliseconds });

  public constructor(private readonly options: HttpStoreTransportOptions) {}

  public async execute<Value>(
    call: StoreCall<Value>,
    signal?: AbortSignal,
  ): Promise<StoreAnswer<Value>> {
    const { clock, observed } = this.options;
    const startedAt = clock();
    const outcome = await this.send(call, signal);
    observed(call.name, outcome.kind, clock() - startedAt);
    return outcome;
  }

  public close(): void {
    this.agent.destroy();
  }

  private send<Value>(
    call: StoreCall<Value>,
    signal: AbortSignal | undefined,
  ): Promise<StoreAnswer<Value>> {
    const { contentType, host, port } = this.options;
    const { body, holdMilliseconds = 0, method, path } = call;
    const headers = body === undefined ? {} : { 'content-type': contentType };
    return new Promise((resolve) => {
      const unavailable = (detail: string): void => {
        clearTimeout(timer);
        resolve({ detail, kind: 'unavailable' });
        request.destroy();
      };
      const request = httpRequest({ agent: this.agent, headers, host, method, path, port, signal });
      const timer = setTimeout(() => {
        unavailable('no answer in time');
      }, holdMilliseconds + answerTimeoutMilliseconds);
      request.on('error', (error) => {
        unavailable(error.message);
      });
      request.on('response', (response) => {
        const chunks: Buffer[] = [];
        let bytes = 0;
        response.on('data', (chunk: Buffer) => {
          chunks.push(chunk);
          bytes += chunk.length;
          if (bytes > maximumAnswerBytes) unavailable('the answer is too long');
        });
        response.on('error', (error) => {
          unavailable(error.message);
        });
        response.on('close', () => {
          if (!response.complete) unavailable('the answer was cut');
        });
        response.on('end', () => {
          clearTimeout(timer);
          const text = Buffer.concat(chunks).toString('utf8');
          resolve({ ...call.parse(response.statusCode ?? 0, text), era: this.eraOf(response) });
        });
      });
      request.end(body);
    });
  }

  private eraOf({ headers }: IncomingMessage): number | undefined {
    const { eraHeader, parseEra } = this.options.codec;
    const value = headers[eraHeader];
    return typeof value === 'string' ? parseEra(value) : undefined;
  }
}
