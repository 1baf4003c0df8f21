import type { IncomingMessage, OutgoingHttpHeaders, ServerResponse } from 'node:http';

import { statusOfClientFault } from '@peridotspring/mesh-core';
import type { ClientFault, MemoryHold } from '@peridotspring/mesh-core';

import type { ClientStream } from './client-stream.js';
import { faultFields } from './fault-response.js';

/** Memory of a chunk beside its bytes. */
const chunkOverheadBytes = 256;

/** The body of a request: its bytes, or why there are none. */
export type RequestBody =
  | { readonly kind: 'whole'; readonly bytes: Buffer }
  | { readonly kind: 'cut' | 'no-memory' | 'too-long' };

/** The one request in progress on a connection. */
export class SequentialRequest {
  public constructor(
    public readonly message: IncomingMessage,
    private readonly response: ServerResponse,
    private readonly stream: ClientStream,
    private readonly hold: MemoryHold,
    private readonly clock: () => number,
  ) {}

  /** Counts processor time that the request takes beside its parsing. */
  public spendProcessing(milliseconds: number): void {
    this.stream.spendProcessing(milliseconds);
  }

  public async readBody(maximumBytes: number): Promise<RequestBody> {
    const { clock, hold, message } = this;
    const headBytes = hold.bytes;
    const chunks: Buffer[] = [];
    let byteCount = 0;
    let heldBytes = 0;
    return new Promise((resolve) => {
      message.on('data', (chunk: Buffer) => {
        byteCount += chunk.length;
        heldBytes += chunk.length + chunkOverheadBytes;
        if (byteCount > maximumBytes) resolve({ kind: 'too-long' });
        else if (!hold.tryResize(headBytes + heldBytes, clock())) resolve({ kind: 'no-memory' });
        else chunks.push(chunk);
      });
      message.on('end', () => {
        resolve(
          message.complete ? { bytes: Buffer.concat(chunks), kind: 'whole' } : { kind: 'cut' },
        );
      });
      message.on('error', () => undefined);
      message.on('close', () => {
        resolve({ kind: 'cut' });
      });
    });
  }

  /** Sends the response; the connection closes after it if the request has not been read to its end. */
  public respond(status: number, fields: OutgoingHttpHeaders, text: string): void {
    const { clock, hold, message, response } = this;
    if (response.headersSent || response.destroyed) return;
    const body = Buffer.from(text);
    if (!hold.tryResize(hold.bytes + body.length, clock())) {
      this.close();
      return;
    }
    if (hasBody(message) && !message.complete) response.shouldKeepAlive = false;
    response.writeHead(status, { ...fields, 'content-length': body.length });
    response.end(message.method === 'HEAD' ? undefined : body);
  }

  /** Responds to a request that was not read as a whole, or closes the connection if it was. */
  public fail(fault: ClientFault): void {
    const status = statusOfClientFault(fault);
    if (status === undefined || this.message.complete) this.close();
    else this.respond(status, faultFields(fault), `${fault}\n`);
  }

  /** Closes the connection without a response. */
  public close(): void {
    this.stream.destroy();
  }
}

function hasBody({ headers }: IncomingMessage): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}
