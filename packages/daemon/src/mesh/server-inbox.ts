import type { ServerMessage } from '@peridotspring/upstreams/mesh';

/**
 * What the server beside a node says. It is kept until the node has heard others, which know for which lifetimes of
 * the server an earlier life of the node's process has shut.
 */
export class ServerInbox {
  /** Undefined once messages are taken as they come. */
  private kept: ServerMessage[] | undefined = [];

  public constructor(private readonly take: (message: ServerMessage) => void) {}

  public get isOpen(): boolean {
    return this.kept === undefined;
  }

  public receive(message: ServerMessage): void {
    if (this.kept === undefined) {
      this.take(message);
      return;
    }
    // That a server drains or leaves binds from its confirmation on.
    switch (message.kind) {
      case 'report':
        if (message.report.draining) this.take(message);
        else this.kept.push(message);
        return;
      case 'leave':
        // What it said before is void.
        this.kept = this.kept.filter(
          (earlier) =>
            earlier.kind !== 'report' || earlier.report.instanceId !== message.instanceId,
        );
        this.take(message);
        return;
      case 'invalid':
        this.kept.push(message);
    }
  }

  /** Takes what was kept, and what comes from now on. */
  public open(): void {
    const kept = this.kept ?? [];
    this.kept = undefined;
    for (const message of kept) this.take(message);
  }
}
