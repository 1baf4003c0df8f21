import { connect } from 'node:net';
import type { Socket } from 'node:net';

import type { FleetServer } from '@peridotspring/stand-ins';

/** A connection on which requests are written byte by byte, also those that no client would send. */
export class RawCaller {
  private readonly socket: Socket;

  public constructor(entry: FleetServer) {
    this.socket = connect(entry.callerPort, '127.0.0.1');
    this.socket.on('error', () => undefined);
    this.socket.resume();
  }

  /** Writes the head of a request; it need not wait for the answer to the one before. */
  public send(method: string, path: string, headers: readonly string[] = []): void {
    this.socket.write([`${method} ${path} HTTP/1.1`, 'host: x', ...headers, '', ''].join('\r\n'));
  }

  public close(): void {
    this.socket.destroy();
  }
}
