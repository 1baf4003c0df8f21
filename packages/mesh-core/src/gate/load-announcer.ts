import type { GateLoad } from '../messages/mesh-frames.js';

/** Pause between two reports to a node of the same availability zone; slow moments last some 150 ms. */
const nearMilliseconds = 30;
/** As above for other zones, where each byte is billed. */
const farMilliseconds = 250;
/**
 * The pause grows by this with each node that is told, so that the reports of a second do not grow with the
 * fleet. Five near and ten far nodes still have the shortest pause.
 */
const nearShareMilliseconds = 6;
const farShareMilliseconds = 25;
/**
 * A node that has sent no request for this long is told no more: it hears of the load with its next answer. In a
 * fleet of 74 nodes a node uses each gate every few seconds, and reports were four of five frames between nodes.
 */
const interestMilliseconds = 1_000;
/** Slowdowns are told apart in steps of this size. */
const slowdownStep = 1;

interface Listener {
  readonly isNear: boolean;
  interestedAt: number;
  toldAt: number;
  told: LoadSummary;
}

/** What a report is compared by. */
interface LoadSummary {
  /** Whether the server takes requests, and whether it is slow: a change of these is told without a longer pause. */
  readonly state: string;
  /** How much it has to do. */
  readonly work: string;
}

const nothingTold: LoadSummary = { state: '', work: '' };

/** Which nodes are told of a gate's load between its answers: those that send it requests. */
export class LoadAnnouncer {
  private readonly listeners = new Map<string, Listener>();

  /** A node sent a request. */
  public requested(node: string, isNear: boolean, now: number): void {
    const listener = this.listeners.get(node);
    if (listener === undefined) {
      this.listeners.set(node, { interestedAt: now, isNear, told: nothingTold, toldAt: now });
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
    const pauses = this.longerPauses();
    for (const [node, listener] of this.listeners) {
      if (now - listener.interestedAt > interestMilliseconds) {
        this.listeners.delete(node);
        continue;
      }
      const { isNear, told, toldAt } = listener;
      if (told.state === summary.state && told.work === summary.work) continue;
      const shortest = isNear ? nearMilliseconds : farMilliseconds;
      const longer = isNear ? pauses.near : pauses.far;
      const pause = told.state === summary.state ? Math.max(shortest, longer) : shortest;
      if (now - toldAt < pause) continue;
      listener.told = summary;
      listener.toldAt = now;
      due.push(node);
    }
    return due;
  }

  /** Pauses that bound the reports of a second, whatever the number of nodes. */
  private longerPauses(): { readonly near: number; readonly far: number } {
    let near = 0;
    for (const { isNear } of this.listeners.values()) if (isNear) near += 1;
    const far = this.listeners.size - near;
    return { far: far * farShareMilliseconds, near: near * nearShareMilliseconds };
  }
}

function summaryOf({ limit, running, slowdown, state, waiting }: GateLoad): LoadSummary {
  const isSlow = slowdown >= 1 + slowdownStep;
  return { state: `${state} ${String(isSlow)}`, work: `${running} ${waiting} ${limit}` };
}
