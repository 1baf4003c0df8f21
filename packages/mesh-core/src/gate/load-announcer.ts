import type { GateLoad } from '../messages/mesh-frames.js';

/** Pause between two reports to a node of the same availability zone; slow moments last some 150 ms. */
const nearMilliseconds = 30;
/** As above for other zones, where each byte is billed. */
const farMilliseconds = 250;
/** A node that has sent no request for this long is told no more. */
const interestMilliseconds = 3_000;
/** Slowdowns are told apart in steps of this size. */
const slowdownStep = 1;

interface Listener {
  readonly isNear: boolean;
  interestedAt: number;
  toldAt: number;
  told: string;
}

/** Which nodes are told of a gate's load between its answers: those that send it requests. */
export class LoadAnnouncer {
  private readonly listeners = new Map<string, Listener>();

  /** A node sent a request. */
  public requested(node: string, isNear: boolean, now: number): void {
    const listener = this.listeners.get(node);
    if (listener === undefined) {
      this.listeners.set(node, { interestedAt: now, isNear, told: '', toldAt: now });
    } else listener.interestedAt = now;
  }

  /** A reply told the node of the load. */
  public told(node: string, load: GateLoad, now: number): void {
    const listener = this.listeners.get(node);
    if (listener === undefined) return;
    listener.told = summaryOf(load);
    listener.toldAt = now;
  }

  /** Nodes whose view of the load is out of date. */
  public due(load: GateLoad, now: number): readonly string[] {
    const summary = summaryOf(load);
    const due: string[] = [];
    for (const [node, listener] of this.listeners) {
      if (now - listener.interestedAt > interestMilliseconds) {
        this.listeners.delete(node);
        continue;
      }
      const pause = listener.isNear ? nearMilliseconds : farMilliseconds;
      if (listener.told === summary || now - listener.toldAt < pause) continue;
      listener.told = summary;
      listener.toldAt = now;
      due.push(node);
    }
    return due;
  }
}

function summaryOf({ limit, running, slowdown, state, waiting }: GateLoad): string {
  const isSlow = slowdown >= 1 + slowdownStep;
  return `${state} ${running} ${waiting} ${limit} ${String(isSlow)}`;
}
