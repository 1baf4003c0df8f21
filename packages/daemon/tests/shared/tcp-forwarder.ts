import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';

/** Forwards TCP connections to a loopback port, except while the link is cut. */
export class TcpForwarder {
  public targetPort = 0;

  private readonly sockets = new Set<Socket>();
  private readonly server: Server;
  private isCut = false;

  public constructor() {
    this.server = createServer((socket) => {
      this.forward(socket);
    });
  }

  /** Starts listening on a free loopback port and returns its number. */
  public async listen(): Promise<number> {
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    const address = this.server.address();
    return typeof address === 'object' && address !== null ? address.port : 0;
  }

  /** Closes all connections, and closes new ones immediately, until `restore` is called. */
  public cut(): void {
    this.isCut = true;
    for (const socket of this.sockets) socket.destroy();
  }

  public restore(): void {
    this.isCut = false;
  }

  public async close(): Promise<void> {
    this.cut();
    this.server.close();
    await once(this.server, 'close');
  }

  private forward(incoming: Socket): void {
    if (this.isCut) {
      incoming.destroy();
      return;
    }
    const outgoing = connect(this.targetPort, '127.0.0.1');
    for (const [socket, other] of [
      [incoming, outgoing],
      [outgoing, incoming],
    ] as const) {
      this.sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('close', () => {
        this.sockets.delete(socket);
        other.destroy();
      });
      socket.pipe(other);
    }
  }
}
