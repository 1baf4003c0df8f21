import type { MemberRecord } from '../messages/member.js';

/**
 * Updates piggybacked on one ping or acknowledgement. With two such frames per second they take at most
 * 3.5 KB/s.
 */
export const maximumUpdatesPerFrame = 10;
/**
 * Transmissions of an update by each node, per doubling of the zone size. Each node sends two frames
 * per second, so the number of nodes that know an update more than doubles every second; the second
 * transmission per doubling makes up for lost frames.
 */
const sendsPerDoubling = 2;

interface QueuedUpdate {
  readonly record: MemberRecord;
  remainingSends: number;
}

/** Updates still to be gossiped, each a bounded number of times; unsent updates come first. */
export class UpdateQueue {
  private unsent = new Map<string, QueuedUpdate>();
  private readonly resendable = new Map<string, QueuedUpdate>();

  public get size(): number {
    return this.unsent.size + this.resendable.size;
  }

  /** Queues an update; it replaces an older one of the same server. */
  public add(record: MemberRecord, zoneSize: number): void {
    const remainingSends = sendsPerDoubling * Math.ceil(Math.log2(zoneSize + 2));
    this.resendable.delete(record.server);
    this.unsent.set(record.server, { record, remainingSends });
  }

  /** Takes the updates for the next frame and counts the transmission. */
  public takeForFrame(): readonly MemberRecord[] {
    const taken: QueuedUpdate[] = [];
    for (const queue of [this.unsent, this.resendable]) {
      for (const [server, update] of queue) {
        if (taken.length >= maximumUpdatesPerFrame) break;
        queue.delete(server);
        taken.push(update);
      }
    }
    for (const update of taken) {
      update.remainingSends -= 1;
      // Requeued at the end, so that all queued updates are sent in rotation.
      if (update.remainingSends > 0) this.resendable.set(update.record.server, update);
    }
    return taken.map((update) => update.record);
  }
}
