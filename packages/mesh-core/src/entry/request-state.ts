import { DeclineReason } from '../messages/mesh-frames.js';
import type { DeclinedFrame } from '../messages/mesh-frames.js';
import type { EntryRequest } from './entry-contract.js';

/** Reasons to decline that show that the service has servers, but not enough capacity. */
const overloadReasons: ReadonlySet<string> = new Set([
  DeclineReason.DeadlineTooShort,
  DeclineReason.QueueFull,
  DeclineReason.ServerRefused,
]);

/** An attempt to have one gate run a request. */
export interface Attempt {
  readonly callId: number;
  readonly state: RequestState;
  readonly nodeName: string;
  /** Incarnation of the gate's process that received the request. */
  readonly boot: number;
  readonly sentAt: number;
  /** Whether the gate may decline because another gate may be sooner. */
  readonly isOptional: boolean;
  /** Whether the request had been sent to a server before; true for a hedge as well. */
  readonly isRetry: boolean;
  /** Monotonic time at which the connection to the gate was lost; undefined while it is connected. */
  connectionLostAt: number | undefined;
}

/** State of a request that is in progress at its entry. */
export class RequestState {
  public readonly attempts = new Map<number, Attempt>();
  /**
   * The gates that declined, with the time until an answer that each reported if it was busy. It is infinite if the gate
   * is unreachable or declined for another reason, since it is not asked again for this request.
   */
  public readonly expectedMillisecondsByDecliningNode = new Map<string, number>();
  /** Number of gates that are unreachable or declined for a reason other than being busy. */
  public finalDeclineCount = 0;
  /** Shortest expected time until an answer that a gate has reported; infinite if none has. */
  public shortestExpectedMilliseconds = Infinity;
  /** Nodes of the gates whose server may have run the request. */
  public readonly usedNodes = new Set<string>();
  /** Whether a gate declined because its server lacks the capacity or time for the request. */
  public isOverloaded = false;
  /** The most recent decline, and the node that sent it. */
  public lastDecline: { readonly node: string; readonly frame: DeclinedFrame } | undefined;
  /** Number of attempts in which the gate was allowed to decline as busy. */
  public optionalAttemptCount = 0;
  /** Whether a gate declined because the request has crashed several servers. */
  public isQuarantinedByGate = false;
  /** Whether a server received the request and reported that it did not run it. */
  public hasServerRefusal = false;
  /** The reason for which the last retry was denied; the same reason is logged only once in a row. */
  public lastRetryDenialReason: string | undefined;
  /** Monotonic time at which the target latency has passed; a later answer is worth less to the caller. */
  public readonly targetDeadline: number;
  private hasConcluded = false;

  public constructor(
    public request: EntryRequest,
    public readonly service: string,
    /** Monotonic time by which the caller must have an answer or an error. */
    public deadline: number,
    public readonly isNested: boolean,
    /** Version of the configuration that declares the request's route. */
    public readonly configurationVersion: number,
    /** Estimated time that the caller has already spent on earlier, refused attempts at the same request. */
    public readonly spentBeforeMilliseconds: number,
  ) {
    const { receivedAt, route } = request;
    this.targetDeadline = receivedAt + route.targetLatencyMilliseconds - spentBeforeMilliseconds;
  }

  public get isConcluded(): boolean {
    return this.hasConcluded;
  }

  /** The state stays in the queue of deadlines until its own has passed, so it gives up the content of the request. */
  public conclude(): void {
    this.hasConcluded = true;
    this.request = { ...this.request, body: undefined, headers: [] };
  }

  /** Gates that have declined or may have run the request; they are used again only if no other gate is left. */
  public get excludedNodes(): ReadonlySet<string> {
    return new Set([...this.expectedMillisecondsByDecliningNode.keys(), ...this.usedNodes]);
  }

  public recordDecline(nodeName: string, frame: DeclinedFrame): void {
    const { expectedMilliseconds, reason } = frame;
    this.lastDecline = { frame, node: nodeName };
    this.isQuarantinedByGate ||= reason === DeclineReason.Quarantined;
    const isBusy = reason === DeclineReason.Busy;
    if (isBusy || reason === DeclineReason.QueueFull) {
      this.shortestExpectedMilliseconds = Math.min(
        this.shortestExpectedMilliseconds,
        expectedMilliseconds,
      );
    }
    this.isOverloaded ||= isBusy || overloadReasons.has(reason);
    if (!isBusy) this.finalDeclineCount += 1;
    this.expectedMillisecondsByDecliningNode.set(
      nodeName,
      isBusy ? expectedMilliseconds : Infinity,
    );
  }

  /** Records that there is no connection to the gate. */
  public recordUnreachable(nodeName: string): void {
    this.finalDeclineCount += 1;
    this.expectedMillisecondsByDecliningNode.set(nodeName, Infinity);
  }
}
