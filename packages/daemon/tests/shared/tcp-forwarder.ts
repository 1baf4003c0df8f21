import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';

/** Forwards connections to a loopback port until the link is cut. */
export class TcpForwarder {
  /** Port to which connections are forwarded. */
  public targetPort = 0;

  private readonly sockets = new Set<Socket>();
  private readonly server: Server;
  private isCut = false;

  public constructor() {
    this.server = createServer((socket) => {
      this.forward(socket);
    });
  }

  /** Starts to listen on any loopback port and returns it. */
  public async listen(): Promise<number> {
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    const address = this.server.address();
    return typeof address === 'object' && address !== null ? address.port : 0;
  }

  /** Closes every connection and closes new ones at once, until `mend`. */
  public cut(): void {
    this.isCut = true;
    for (const socket of this.sockets) socket.destroy();
  }

  public mend(): void {
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
