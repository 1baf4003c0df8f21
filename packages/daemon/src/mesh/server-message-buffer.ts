import type { ServerMessage } from '@peridotspring/upstreams/mesh';

/**
 * Messages of the server are buffered until half of the connections are up, but at most for this long after the
 * start. Peers report, when they connect, which incarnations of the server have ended according to an earlier
 * incarnation of this node.
 */
const peerHelloTimeoutMilliseconds = 500;

/**
 * Buffers messages of the server beside a node until peers have reported which incarnations of the server have ended
 * according to an earlier incarnation of the node.
 */
export class ServerMessageBuffer {
  /** Undefined once messages are delivered immediately. */
  private buffered: ServerMessage[] | undefined = [];

  public constructor(private readonly deliver: (message: ServerMessage) => void) {}

  public get isReleased(): boolean {
    return this.buffered === undefined;
  }

  public receive(message: ServerMessage): void {
    if (this.buffered === undefined) {
      this.deliver(message);
      return;
    }
    // Once confirmed, draining and leaving are binding, so these messages are delivered immediately.
    switch (message.kind) {
      case 'report':
        if (message.report.draining) this.deliver(message);
        else this.buffered.push(message);
        return;
      case 'leave':
        // Buffered reports of a server that has left are obsolete.
        this.buffered = this.buffered.filter(
          (earlier) =>
            earlier.kind !== 'report' || earlier.report.instanceId !== message.instanceId,
        );
        this.deliver(message);
        return;
      case 'invalid':
        this.buffered.push(message);
    }
  }

  /**
   * Releases the messages once enough peers have connected, or after a time-out.
   * @param hasPeerHellos whether at least one peer, and most of them, are connected.
   */
  public releaseIfDue(hasPeerHellos: boolean, millisecondsSinceStart: number): void {
    if (this.isReleased) return;
    if (hasPeerHellos || millisecondsSinceStart >= peerHelloTimeoutMilliseconds) this.release();
  }

  /** Delivers the buffered messages, and later ones immediately. */
  public release(): void {
    const messages = this.buffered ?? [];
    this.buffered = undefined;
    for (const message of messages) this.deliver(message);
  }
}
