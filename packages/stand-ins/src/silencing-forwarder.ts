import { connect, createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';

/** Which bytes of a silenced connection are lost, seen from the side that opened it. */
export const SilentDirection = {
  Both: 'both',
  FromClient: 'from-client',
  ToClient: 'to-client',
} as const;
export type SilentDirection = (typeof SilentDirection)[keyof typeof SilentDirection];

interface ForwardedConnection {
  readonly incoming: Socket;
  readonly outgoing: Socket;
  /** The bytes that the client sent last. */
  lastSent: string;
  /** A silent connection does not show either side that the other one has closed it. */
  isSilent: boolean;
}

/** Forwards TCP connections, which may go silent: they stay open and deliver nothing more, while new ones work. */
export class SilencingForwarder {
  private readonly connections = new Set<ForwardedConnection>();
  private readonly server: Server;

  public constructor(targetHost: string, targetPort: number) {
    this.server = createServer((incoming) => {
      this.forward(incoming, connect(targetPort, targetHost));
    });
  }

  public async listen(): Promise<number> {
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    return (this.server.address() as AddressInfo).port;
  }

  /** Silences the open connections whose last request contains the text; returns their number. */
  public silence(requestText = '', direction: SilentDirection = SilentDirection.Both): number {
    const silenced = [...this.connections].filter(({ lastSent }) => lastSent.includes(requestText));
    for (const connection of silenced) {
      const { incoming, outgoing } = connection;
      connection.isSilent = true;
      if (direction !== SilentDirection.ToClient) incoming.removeAllListeners('data').resume();
      if (direction !== SilentDirection.FromClient) outgoing.removeAllListeners('data').resume();
    }
    return silenced.length;
  }

  /** Further connections are refused; those that are open stay. */
  public stopListening(): void {
    this.server.close();
  }

  public close(): void {
    for (const { incoming, outgoing } of this.connections) {
      incoming.destroy();
      outgoing.destroy();
    }
    this.server.close();
  }

  private forward(incoming: Socket, outgoing: Socket): void {
    const connection: ForwardedConnection = { incoming, isSilent: false, lastSent: '', outgoing };
    this.connections.add(connection);
    incoming.on('data', (chunk: Buffer) => {
      connection.lastSent = chunk.toString('latin1');
      outgoing.write(chunk);
    });
    outgoing.on('data', (chunk: Buffer) => incoming.write(chunk));
    for (const [socket, other] of [
      [incoming, outgoing],
      [outgoing, incoming],
    ] as const) {
      socket.on('error', () => undefined);
      socket.on('close', () => {
        if (connection.isSilent) return;
        this.connections.delete(connection);
        other.destroy();
      });
    }
  }
}
