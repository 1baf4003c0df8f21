import type { ReplyFrame } from '../messages/mesh-frames.js';
import type { GateCall } from './gate-call-registry.js';

/**
 * Time for which lost calls are retained although something accepts connections at the server's address. It may be the next
 * incarnation of the server, which the gate learns from a report.
 */
const retentionMilliseconds = 5_000;

/** A call whose connection to the server closed before the response was complete. */
export interface LostCall {
  readonly call: GateCall;
  /** The server that was running the call. */
  readonly instanceId: string;
  readonly reply: ReplyFrame;
  readonly lostAt: number;
}

export interface ServerCrashDetectorOptions {
  /** Starts a check whether the server accepts connections; `onChecked` must be called with the result. */
  readonly check: () => void;
  /** Called with the calls that the server was running when it crashed, before they are released. */
  readonly onCrashed: (lost: readonly LostCall[]) => void;
  /** Called once for each lost call, when it is known whether the server crashed. */
  readonly onReleased: (call: GateCall, reply: ReplyFrame, now: number) => void;
}

/**
 * Distinguishes the crash of a server from the loss of single connections. After a crash, connections to the server are
 * refused, or another incarnation reports without the end of this one having been announced.
 */
export class ServerCrashDetector {
  private pending: LostCall[] = [];
  private released: LostCall[] = [];
  private checkStartedAt: number | undefined;

  public constructor(private readonly options: ServerCrashDetectorOptions) {}

  /** Number of lost calls that have not been released. */
  public get pendingCount(): number {
    return this.pending.length;
  }

  public onConnectionLost(lost: LostCall): void {
    this.pending.push(lost);
    if (this.checkStartedAt === undefined) this.startCheck(lost.lostAt);
  }

  /** Handles the result of a check. `isRefused` means that nothing listens at the server's address. */
  public onChecked(isRefused: boolean, now: number): void {
    const startedAt = this.checkStartedAt ?? now;
    this.checkStartedAt = undefined;
    // The server may have crashed after it had accepted the connection of this check.
    const isCovered = ({ lostAt }: LostCall): boolean => isRefused || lostAt <= startedAt;
    const covered = this.pending.filter(isCovered);
    this.pending = this.pending.filter((lost) => !isCovered(lost));
    if (isRefused) this.reportCrash(covered);
    else this.released = [...this.recentlyReleased(now), ...covered];
    for (const { call, reply } of covered) this.options.onReleased(call, reply, now);
    if (this.pending.length > 0) this.startCheck(now);
  }

  /** Handles the first report of an incarnation that replaced one whose end was not announced. */
  public onIncarnationReplaced(now: number): void {
    const lost = this.recentlyReleased(now);
    this.released = [];
    this.reportCrash(lost);
  }

  /** Handles a complete response: the server has been running, so the connections lost before say nothing about it. */
  public onResponse(): void {
    this.released = [];
  }

  private startCheck(now: number): void {
    this.checkStartedAt = now;
    this.options.check();
  }

  private recentlyReleased(now: number): LostCall[] {
    return this.released.filter(({ lostAt }) => now - lostAt < retentionMilliseconds);
  }

  private reportCrash(lost: readonly LostCall[]): void {
    if (lost.length > 0) this.options.onCrashed(lost);
  }
}
