import { Agent } from 'node:http';

/** An idle connection is closed before a Node.js upstream does so after its default of 5 s. */
const idleMilliseconds = 4_000;

/** One of the announced connections is left for polls. */
function requestConnections(connections: number): number {
  return Math.max(1, connections - 1);
}

/** Keep-alive connections to one address of the upstream. */
export class UpstreamConnections {
  public readonly host: string;
  public readonly port: number;
  public readonly agent: Agent;
  private readonly separatePollAgent = new Agent({
    keepAlive: true,
    maxSockets: 1,
    timeout: idleMilliseconds,
  });
  private active = 0;
  private retired = false;

  /** `address` is `host:port`. */
  public constructor(
    public readonly address: string,
    private connections: number,
  ) {
    const separator = address.lastIndexOf(':');
    this.host = address.slice(0, separator).replace(/^\[(.*)\]$/, '$1');
    this.port = Number(address.slice(separator + 1));
    this.agent = new Agent({
      keepAlive: true,
      maxSockets: requestConnections(connections),
      scheduling: 'lifo',
      timeout: idleMilliseconds,
    });
  }

  /** Polls have a connection of their own, if there are two, so that they don't wait behind requests. */
  public get pollAgent(): Agent {
    return this.connections > 1 ? this.separatePollAgent : this.agent;
  }

  /** Changes the bound; connections above it close when their requests end. */
  public resize(connections: number): void {
    this.connections = connections;
    this.agent.maxSockets = requestConnections(connections);
  }

  public requestStarted(): void {
    this.active += 1;
  }

  public requestEnded(): void {
    this.active -= 1;
    if (this.retired && this.active === 0) this.agent.destroy();
  }

  /** Closes the connections as soon as no request needs them. */
  public retire(): void {
    this.retired = true;
    this.separatePollAgent.destroy();
    if (this.active === 0) this.agent.destroy();
  }
}
