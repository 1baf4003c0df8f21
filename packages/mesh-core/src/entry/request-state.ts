import { DeclineReason } from '../messages/mesh-frames.js';
import type { DeclinedFrame } from '../messages/mesh-frames.js';
import type { EntryRequest } from './entry-contract.js';

const overloadReasons: ReadonlySet<string> = new Set([
  DeclineReason.DeadlineTooShort,
  DeclineReason.QueueFull,
  DeclineReason.ServerRefused,
]);

/** One gate that was asked to run a request. */
export interface Attempt {
  readonly callId: number;
  readonly state: RequestState;
  readonly node: string;
  /** The life of the gate's process that was asked. */
  readonly boot: number;
  readonly sentAt: number;
  readonly optional: boolean;
  readonly repeat: boolean;
  /** Since when the connection to the gate is down; undefined while it is up. */
  lostAt: number | undefined;
}

/** A request that is in progress at its entry. */
export class RequestState {
  public readonly attempts = new Map<number, Attempt>();
  /** Gates that declined, with the time that each expects until an answer. */
  public readonly declined = new Map<string, number>();
  /** Gates that would not take the request in any case. */
  public hardDeclines = 0;
  /** Shortest time until an answer that a gate told; infinite if none did. */
  public shortestWait = Infinity;
  /** Gates whose server may have run the request. */
  public readonly used = new Set<string>();
  /** A gate had a server, but no room or time for the request. */
  public isOverloaded = false;
  /** The last gate that declined, and what it said. */
  public lastDecline: { readonly node: string; readonly frame: DeclinedFrame } | undefined;
  public optionalTries = 0;
  /** A server said that it did not run the request. */
  public reachedServer = false;
  public isConcluded = false;
  /** Why the last repeat was not made. */
  public lastDenial: string | undefined;
  /** Monotonic time until which an answer has its full value. */
  public readonly targetAt: number;

  public constructor(
    public readonly request: EntryRequest,
    public readonly service: string,
    /** Monotonic time by which the caller gets its answer. */
    public readonly deadline: number,
    public readonly nested: boolean,
    /** Version of the configuration whose route it has. */
    public readonly configurationVersion: number,
    /** Time that the caller waited before it sent this request, for earlier ones that were not served. */
    public readonly spentBefore: number,
  ) {
    const { receivedAt, route } = request;
    this.targetAt = receivedAt + route.targetLatencyMilliseconds - spentBefore;
  }

  /** Gates that are not asked again unless there is no other. */
  public get excluded(): ReadonlySet<string> {
    return new Set([...this.declined.keys(), ...this.used]);
  }

  public decline(node: string, frame: DeclinedFrame): void {
    const { expectedMilliseconds, reason } = frame;
    this.lastDecline = { frame, node };
    const isBusy = reason === DeclineReason.Busy;
    if (isBusy || reason === DeclineReason.QueueFull) {
      this.shortestWait = Math.min(this.shortestWait, expectedMilliseconds);
    }
    this.isOverloaded ||= isBusy || overloadReasons.has(reason);
    if (!isBusy) this.hardDeclines += 1;
    this.declined.set(node, isBusy ? expectedMilliseconds : Infinity);
  }

  /** There is no connection to the gate. */
  public unreachable(node: string): void {
    this.hardDeclines += 1;
    this.declined.set(node, Infinity);
  }
}
