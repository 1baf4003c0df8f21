import { Agent } from 'node:http';

/** Shorter than the default keep-alive timeout of a Node.js upstream, which is 5 s. */
const idleTimeoutMilliseconds = 4_000;

/** One of the announced connections is reserved for polls. */
function maximumRequestConnections(connections: number): number {
  return Math.max(1, connections - 1);
}

/** Keep-alive connections to one address of the upstream. */
export class UpstreamConnections {
  public readonly host: string;
  public readonly port: number;
  public readonly agent: Agent;
  private readonly dedicatedPollAgent = new Agent({
    keepAlive: true,
    maxSockets: 1,
    timeout: idleTimeoutMilliseconds,
  });
  private activeRequests = 0;
  private isRetired = false;

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
      maxSockets: maximumRequestConnections(connections),
      scheduling: 'lifo',
      timeout: idleTimeoutMilliseconds,
    });
  }

  /** With two or more connections, polls use a dedicated one so that they are not queued behind requests. */
  public get pollAgent(): Agent {
    return this.connections > 1 ? this.dedicatedPollAgent : this.agent;
  }

  /** Changes the limit; excess connections close when their requests end. */
  public resize(connections: number): void {
    this.connections = connections;
    this.agent.maxSockets = maximumRequestConnections(connections);
  }

  public onRequestStarted(): void {
    this.activeRequests += 1;
  }

  public onRequestEnded(): void {
    this.activeRequests -= 1;
    if (this.isRetired && this.activeRequests === 0) this.agent.destroy();
  }

  /** Closes all connections once their requests have ended. */
  public retire(): void {
    this.isRetired = true;
    this.dedicatedPollAgent.destroy();
    if (this.activeRequests === 0) this.agent.destroy();
  }
}
