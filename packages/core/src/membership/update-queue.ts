import type { MemberRecord } from '../messages/member.js';

/** Updates on one ping or acknowledgement; with two such frames a second they take at most 3.5 KB/s. */
export const maximumUpdatesPerFrame = 10;
/**
 * Sends of an update per doubling of the zone. Each node sends two frames a second, so that a news
 * spreads to more than twice as many nodes each second; the second send per doubling covers losses.
 */
const sendsPerDoubling = 2;

interface QueuedUpdate {
  readonly record: MemberRecord;
  remaining: number;
}

/** Updates that still have to be passed on, each a bounded number of times, never sent ones first. */
export class UpdateQueue {
  private fresh = new Map<string, QueuedUpdate>();
  private readonly sent = new Map<string, QueuedUpdate>();

  public get size(): number {
    return this.fresh.size + this.sent.size;
  }

  /** Queues an update in place of an older one of the same server. */
  public add(record: MemberRecord, zoneSize: number): void {
    const remaining = sendsPerDoubling * Math.ceil(Math.log2(zoneSize + 2));
    this.sent.delete(record.server);
    this.fresh.set(record.server, { record, remaining });
  }

  /** Takes the updates for one frame. */
  public take(): readonly MemberRecord[] {
    const taken: QueuedUpdate[] = [];
    for (const queue of [this.fresh, this.sent]) {
      for (const [server, update] of queue) {
        if (taken.length >= maximumUpdatesPerFrame) break;
        queue.delete(server);
        taken.push(update);
      }
    }
    for (const update of taken) {
      update.remaining -= 1;
      // Put back at the end, so that all queued updates take turns.
      if (update.remaining > 0) this.sent.set(update.record.server, update);
    }
    return taken.map((update) => update.record);
  }
}
