import { Agent } from 'node:http';
import type { ClientRequest } from 'node:http';
import type { Duplex } from 'node:stream';

/** An idle connection is closed well before servers do, so that a request seldom meets a closing one. */
const idleMilliseconds = 4_000;
/** Time for which connections are used once only after a server sent bytes that nobody asked for. */
const distrustMilliseconds = 15_000;
/**
 * The name of a server is for TLS. If none is given, the runtime takes it from the host field and tests
 * whether it is an address, by an expression that takes milliseconds to compile in a new process.
 */
const withoutServerName = { servername: '' };

/**
 * Keep-alive connections to one server. Bytes that arrive on an idle connection belong to no request;
 * the connection is closed, and for a time each request gets a connection of its own.
 */
export class ServerAgent extends Agent {
  private readonly idle = new Set<Duplex>();
  /** Connections that were idle once, and so have a listener for their end. */
  private readonly watched = new WeakSet<Duplex>();
  private distrustUntil = 0;

  public constructor(private readonly clock: () => number) {
    super({
      keepAlive: true,
      scheduling: 'lifo',
      timeout: idleMilliseconds,
      ...withoutServerName,
    });
  }

  /** A connection carried an answer that does not belong to its request. */
  public distrust(): void {
    this.distrustUntil = this.clock() + distrustMilliseconds;
    this.dropIdle();
  }

  /** Closes the connections that no request uses. */
  public dropIdle(): void {
    for (const socket of this.idle) socket.destroy();
    this.idle.clear();
  }

  public override keepSocketAlive(socket: Duplex): boolean {
    if (this.clock() < this.distrustUntil) return false;
    // eslint-disable-next-line @typescript-eslint/no-confusing-void-expression -- the types say void, Node.js returns false for a connection that is about to close
    const isKept: unknown = super.keepSocketAlive(socket);
    if (isKept === false) return false;
    socket.on('data', this.unexpectedData);
    if (!this.watched.has(socket)) {
      this.watched.add(socket);
      socket.once('close', () => this.idle.delete(socket));
    }
    this.idle.add(socket);
    return true;
  }

  public override reuseSocket(socket: Duplex, request: ClientRequest): void {
    socket.off('data', this.unexpectedData);
    this.idle.delete(socket);
    super.reuseSocket(socket, request);
  }

  private readonly unexpectedData = (): void => {
    this.distrust();
  };
}
