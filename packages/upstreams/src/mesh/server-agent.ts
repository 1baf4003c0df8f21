import { Agent } from 'node:http';
import type { ClientRequest } from 'node:http';
import type { Duplex } from 'node:stream';

/** Shorter than the idle timeout of servers, so that a request is rarely sent on a connection that is closing. */
const idleTimeoutMilliseconds = 4_000;
/** Time without connection reuse after the server has sent bytes that belong to no request. */
const reuseDisabledMilliseconds = 15_000;
/**
 * An empty TLS server name (SNI). Without one, Node.js derives the name from the Host field and tests whether it
 * is an IP address, with a regular expression that takes milliseconds to compile in a new process.
 */
const emptyServerName = { servername: '' };

/**
 * Keep-alive connections to one server. Bytes that arrive on an idle connection belong to no request: all idle
 * connections are closed, and for `reuseDisabledMilliseconds` each request gets a new connection.
 */
export class ServerAgent extends Agent {
  private readonly idleSockets = new Set<Duplex>();
  /** Connections that already have a 'close' listener, which is added when they become idle for the first time. */
  private readonly socketsWithCloseListener = new WeakSet<Duplex>();
  private reuseDisabledUntil = 0;

  public constructor(private readonly clock: () => number) {
    super({
      keepAlive: true,
      scheduling: 'lifo',
      timeout: idleTimeoutMilliseconds,
      ...emptyServerName,
    });
  }

  /** Stops reusing connections for a time, after one carried data that does not belong to its request. */
  public disableReuse(): void {
    this.reuseDisabledUntil = this.clock() + reuseDisabledMilliseconds;
    this.closeIdleConnections();
  }

  /** Closes the connections that carry no request. */
  public closeIdleConnections(): void {
    for (const socket of this.idleSockets) socket.destroy();
    this.idleSockets.clear();
  }

  public override keepSocketAlive(socket: Duplex): boolean {
    if (this.clock() < this.reuseDisabledUntil) return false;
    // eslint-disable-next-line @typescript-eslint/no-confusing-void-expression -- the types say void, Node.js returns false for a connection that is about to close
    const isKept: unknown = super.keepSocketAlive(socket);
    if (isKept === false) return false;
    socket.on('data', this.onUnexpectedData);
    if (!this.socketsWithCloseListener.has(socket)) {
      this.socketsWithCloseListener.add(socket);
      socket.once('close', () => this.idleSockets.delete(socket));
    }
    this.idleSockets.add(socket);
    return true;
  }

  public override reuseSocket(socket: Duplex, request: ClientRequest): void {
    socket.off('data', this.onUnexpectedData);
    this.idleSockets.delete(socket);
    super.reuseSocket(socket, request);
  }

  private readonly onUnexpectedData = (): void => {
    this.disableReuse();
  };
}
