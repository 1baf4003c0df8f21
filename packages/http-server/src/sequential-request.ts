import type { IncomingMessage, OutgoingHttpHeaders, ServerResponse } from 'node:http';

import { ClientFault, statusOfClientFault } from '@peridotspring/mesh-core';
import type { MemoryHold } from '@peridotspring/mesh-core';

import type { ClientStream } from './client-stream.js';
import { faultFields } from './fault-response.js';

/** Memory of a chunk beside its bytes. */
const chunkOverheadBytes = 256;

/** The body of a request that is to be answered. */
export type RequestBody =
  { readonly kind: 'whole'; readonly text: string } | { readonly kind: 'too-long' };

type CollectedBody = RequestBody | { readonly kind: 'cut' | 'no-memory' | 'trailers' };

/** The one request in progress on a connection. */
export class SequentialRequest {
  public constructor(
    public readonly message: IncomingMessage,
    private readonly response: ServerResponse,
    private readonly stream: ClientStream,
    private readonly hold: MemoryHold,
    private readonly clock: () => number,
    private readonly onFault: (fault: ClientFault) => void,
  ) {}

  /** Counts processor time that the request takes beside its parsing. */
  public spendProcessing(milliseconds: number): void {
    this.stream.spendProcessing(milliseconds);
  }

  /**
   * Reads the body. Resolves to undefined if there is nothing to answer: a request that was cut gets no response, so that its client
   * sends it again, and one without memory has been refused.
   */
  public async readBody(maximumBytes: number): Promise<RequestBody | undefined> {
    const body = await this.collectBody(maximumBytes);
    switch (body.kind) {
      case 'cut':
        this.close();
        return undefined;
      case 'no-memory':
        this.fail(ClientFault.NoMemory);
        return undefined;
      case 'trailers':
        this.onFault(ClientFault.Trailers);
        this.refuse(ClientFault.Trailers);
        return undefined;
      case 'too-long':
      case 'whole':
        return body;
    }
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
    if (this.message.complete) this.close();
    else this.refuse(fault);
  }

  /** Closes the connection without a response. */
  public close(): void {
    this.stream.destroy();
  }

  private refuse(fault: ClientFault): void {
    const status = statusOfClientFault(fault);
    if (status === undefined) this.close();
    else this.respond(status, faultFields(fault), `${fault}\n`);
  }

  private async collectBody(maximumBytes: number): Promise<CollectedBody> {
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
        if (hasTrailers(message)) resolve({ kind: 'trailers' });
        else if (message.complete)
          resolve({ kind: 'whole', text: Buffer.concat(chunks).toString('utf8') });
        else resolve({ kind: 'cut' });
      });
      message.on('error', () => undefined);
      message.on('close', () => {
        resolve({ kind: 'cut' });
      });
    });
  }
}

/** Whether fields follow the body of a request that has been read to its end; nothing passes them on. */
export function hasTrailers({ rawTrailers }: IncomingMessage): boolean {
  return rawTrailers.length > 0;
}

function hasBody({ headers }: IncomingMessage): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}
