import type { EndedServer, NodeServer } from '../messages/mesh-frames.js';

/** A report that was sent before a server left arrives within seconds, or was held up by a cut of the network. */
const rememberedMilliseconds = 60_000;
/** Bounds what a greeting carries; more servers than that seldom leave in a minute. */
const maximumRemembered = 16;

interface Remembered {
  readonly server: NodeServer;
  readonly at: number;
}

/**
 * Servers of other nodes that drained or left a short while ago. A node's process that starts again knows nothing
 * of the confirmation that an earlier life gave, and a late report or a false health answer would have it use the
 * server again; so others tell it.
 */
export class EndedServers {
  private remembered: Remembered[] = [];

  public note(node: string, { instanceId, startedAt }: EndedServer, now: number): void {
    const server = { instanceId, node, startedAt };
    const isOther = (known: Remembered): boolean =>
      known.server.node !== node || known.server.instanceId !== instanceId;
    this.remembered = [...this.remembered.filter(isOther), { at: now, server }].slice(
      -maximumRemembered,
    );
  }

  /** What to tell a node that connects. */
  public recent(now: number): readonly NodeServer[] {
    this.remembered = this.remembered.filter(({ at }) => now - at < rememberedMilliseconds);
    return this.remembered.map(({ server }) => server);
  }
}
