import type { EndedServer, EndedNodeServer } from '../messages/mesh-frames.js';

/** Reports sent before a server ended arrive within seconds, unless a network partition delays them. */
const retentionMilliseconds = 60_000;
/** Bounds the size of the hello message between nodes; rarely do more servers than this end within a minute. */
const maximumRetainedServers = 16;

interface ServerEnding {
  readonly server: EndedNodeServer;
  /** Monotonic time at which this node learned of it. */
  readonly endedAt: number;
}

/**
 * Servers of other nodes that recently drained or left. After a restart, a node does not know that its previous
 * incarnation confirmed the end of its server, so a late report or a wrong health response would make it use that
 * server again. Therefore the other nodes report these servers to it when it connects.
 */
export class EndedServers {
  private endings: ServerEnding[] = [];

  /** Records that a server ended; replaces an earlier record of the same server. */
  public record(nodeName: string, { instanceId, startedAt }: EndedServer, now: number): void {
    const server = { instanceId, node: nodeName, startedAt };
    const isOther = (known: ServerEnding): boolean =>
      known.server.node !== nodeName || known.server.instanceId !== instanceId;
    this.endings = [...this.endings.filter(isOther), { endedAt: now, server }].slice(
      -maximumRetainedServers,
    );
  }

  /** The recently ended servers, to be reported to a node that connects. */
  public listRecent(now: number): readonly EndedNodeServer[] {
    this.endings = this.endings.filter(({ endedAt }) => now - endedAt < retentionMilliseconds);
    return this.endings.map(({ server }) => server);
  }
}
