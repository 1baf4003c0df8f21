import {
  brokerQualificationMilliseconds,
  reconnectionGraceMilliseconds,
} from './allotment-timing.js';

interface Peer {
  boot: number;
  /** When the process was first connected to. */
  readonly since: number;
  /** Undefined while it is connected and answers. */
  lostAt: number | undefined;
}

/**
 * Which nodes may be chosen as broker. A process that has just started is not, since others may not be connected to it
 * yet. One whose connection was lost stays chosen for a moment: connections that were reset are soon made again.
 */
export class BrokerQualification {
  private readonly peers = new Map<string, Peer>();

  /** Returns whether the node's process is another one than before. */
  public onConnected(node: string, boot: number, now: number): boolean {
    const peer = this.peers.get(node);
    if (peer?.boot === boot) {
      peer.lostAt = undefined;
      return false;
    }
    this.peers.set(node, { boot, lostAt: undefined, since: now });
    return true;
  }

  public onLost(node: string, now: number): void {
    const peer = this.peers.get(node);
    if (peer !== undefined) peer.lostAt ??= now;
  }

  /** The connection that was taken for lost answers. */
  public onConfirmed(node: string): void {
    const peer = this.peers.get(node);
    if (peer !== undefined) peer.lostAt = undefined;
  }

  public isQualified(node: string, now: number): boolean {
    const peer = this.peers.get(node);
    if (peer === undefined || now - peer.since < brokerQualificationMilliseconds) return false;
    return peer.lostAt === undefined || now - peer.lostAt < reconnectionGraceMilliseconds;
  }
}
