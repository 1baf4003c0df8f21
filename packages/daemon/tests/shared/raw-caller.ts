import { connect } from 'node:net';
import type { Socket } from 'node:net';

import type { FleetServer } from '@peridotspring/stand-ins';

/** A raw TCP connection to an entry, for requests that an HTTP client would not send. */
export class RawCaller {
  private readonly socket: Socket;

  public constructor(entry: FleetServer) {
    this.socket = connect(entry.callerPort, '127.0.0.1');
    this.socket.on('error', () => undefined);
    this.socket.resume();
  }

  /** Writes the head of a request without waiting for the response to the previous one. */
  public send(method: string, path: string, headers: readonly string[] = []): void {
    this.socket.write([`${method} ${path} HTTP/1.1`, 'host: x', ...headers, '', ''].join('\r\n'));
  }

  public close(): void {
    this.socket.destroy();
  }
}
