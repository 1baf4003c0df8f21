import type { GateLoad } from '../messages/mesh-frames.js';

/**
 * Minimum interval between two load reports to a node of the same availability zone. Slowdowns of a server
 * last about 150 ms, so reports have to arrive well within that.
 */
const sameZoneIntervalMilliseconds = 30;
/** Minimum interval for nodes of other zones. It is longer because traffic between zones is billed by the byte. */
const otherZoneIntervalMilliseconds = 250;
/**
 * Interval per subscribed node: the interval grows with their number, so that the reports per second do not
 * grow with the fleet. Up to five nodes of the same zone, and ten of other zones, have the minimum interval.
 */
const sameZoneIntervalPerNodeMilliseconds = 6;
const otherZoneIntervalPerNodeMilliseconds = 25;
/**
 * Reports to a node end when it has sent no request for this long; it receives the load with its next reply.
 * In a fleet of 74 nodes each node uses a gate only every few seconds, and without this bound four of five
 * frames between nodes were load reports.
 */
const subscriptionMilliseconds = 1_000;
/** A server is reported as slow if its slowdown factor exceeds the normal 1 by at least this much. */
const slowdownStep = 1;

interface Subscriber {
  readonly isInSameZone: boolean;
  lastRequestAt: number;
  notifiedAt: number;
  lastSummary: LoadSummary;
}

/** The parts of a load by which it is decided whether it has to be reported. */
interface LoadSummary {
  /**
   * Whether the server accepts requests and whether it is slow. Changes of these are reported at the minimum
   * interval, whatever the number of nodes.
   */
  readonly state: string;
  /** Running and waiting requests and the concurrency limit. */
  readonly work: string;
}

const emptySummary: LoadSummary = { state: '', work: '' };

/** Decides which nodes receive load reports of a gate between its replies: those that send it requests. */
export class LoadAnnouncer {
  private readonly subscribers = new Map<string, Subscriber>();

  /** Subscribes a node that sent a request, or renews its subscription. */
  public onRequest(node: string, isInSameZone: boolean, now: number): void {
    const subscriber = this.subscribers.get(node);
    if (subscriber === undefined) {
      this.subscribers.set(node, {
        lastRequestAt: now,
        isInSameZone,
        lastSummary: emptySummary,
        notifiedAt: now,
      });
    } else subscriber.lastRequestAt = now;
  }

  /** Records that a reply carried the load to the node. */
  public onReplySent(node: string, load: GateLoad, now: number): void {
    const subscriber = this.subscribers.get(node);
    if (subscriber === undefined) return;
    subscriber.lastSummary = summaryOf(load);
    subscriber.notifiedAt = now;
  }

  /** Returns the nodes that are due for a report of the load and records them as notified. */
  public takeDueNodes(load: GateLoad, now: number): readonly string[] {
    const summary = summaryOf(load);
    const due: string[] = [];
    const scaled = this.scaledIntervals();
    for (const [node, subscriber] of this.subscribers) {
      if (now - subscriber.lastRequestAt > subscriptionMilliseconds) {
        this.subscribers.delete(node);
        continue;
      }
      const { isInSameZone, lastSummary, notifiedAt } = subscriber;
      if (lastSummary.state === summary.state && lastSummary.work === summary.work) continue;
      const minimum = isInSameZone ? sameZoneIntervalMilliseconds : otherZoneIntervalMilliseconds;
      const longer = isInSameZone ? scaled.sameZone : scaled.otherZones;
      const interval = lastSummary.state === summary.state ? Math.max(minimum, longer) : minimum;
      if (now - notifiedAt < interval) continue;
      subscriber.lastSummary = summary;
      subscriber.notifiedAt = now;
      due.push(node);
    }
    return due;
  }

  /** Intervals that bound the total number of reports per second, whatever the number of nodes. */
  private scaledIntervals(): { readonly sameZone: number; readonly otherZones: number } {
    let sameZone = 0;
    for (const { isInSameZone } of this.subscribers.values()) if (isInSameZone) sameZone += 1;
    const otherZones = this.subscribers.size - sameZone;
    return {
      otherZones: otherZones * otherZoneIntervalPerNodeMilliseconds,
      sameZone: sameZone * sameZoneIntervalPerNodeMilliseconds,
    };
  }
}

function summaryOf({ limit, running, slowdown, state, waiting }: GateLoad): LoadSummary {
  const isSlow = slowdown >= 1 + slowdownStep;
  return { state: `${state} ${String(isSlow)}`, work: `${running} ${waiting} ${limit}` };
}
