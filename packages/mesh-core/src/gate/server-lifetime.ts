import { ServerState } from '../messages/mesh-frames.js';
import type { EndedServer } from '../messages/mesh-frames.js';
import type { ServerReport } from './gate-contract.js';

/** What a report changed. */
export const ReportEffect = {
  /** The report is older than what is known, or of a lifetime that has ended. */
  Ignored: 'ignored',
  Unchanged: 'unchanged',
  /** A lifetime began that was not known. */
  Started: 'started',
  Draining: 'draining',
} as const;
export type ReportEffect = (typeof ReportEffect)[keyof typeof ReportEffect];

interface Lifetime {
  readonly instanceId: string;
  /** Unknown while only a health check has told of the lifetime. */
  startedAt: number | undefined;
  sequence: number;
  slots: number;
  state: ServerState;
  coldUntil: number;
}

/**
 * Which lifetime of the server is in force. Reports may arrive late, out of order, and after the
 * lifetime that they speak of has ended; a server may start again under its old identifier.
 */
export class ServerLifetime {
  private current: Lifetime | undefined;
  /** Lifetimes that left or were replaced, with their time of start. */
  private readonly ended = new Map<string, number | undefined>();

  public get state(): ServerState {
    return this.current?.state ?? ServerState.Absent;
  }

  public get instanceId(): string | undefined {
    return this.current?.instanceId;
  }

  /** Whether the server said that it leaves, and no other has come since. */
  public get hasLeft(): boolean {
    if (this.current !== undefined) return this.current.state === ServerState.Draining;
    return this.ended.size > 0;
  }

  /** The lifetime that drains, or the one that ended last. */
  public get lastEnded(): EndedServer | undefined {
    if (this.current?.state === ServerState.Draining) {
      return { instanceId: this.current.instanceId, startedAt: this.current.startedAt };
    }
    const [instanceId, startedAt] = [...this.ended].at(-1) ?? [];
    return instanceId === undefined ? undefined : { instanceId, startedAt };
  }

  public get slots(): number {
    return this.current?.slots ?? 0;
  }

  public isCold(now: number): boolean {
    return (this.current?.coldUntil ?? 0) > now;
  }

  public report(report: ServerReport, now: number): ReportEffect {
    if (this.isEnded(report)) return ReportEffect.Ignored;
    const { current } = this;
    if (current === undefined || !isSameLifetime(current, report)) return this.start(report, now);
    if (report.sequence < current.sequence) return ReportEffect.Ignored;
    // Without it, the next lifetime under the same identifier would be taken for this one.
    current.startedAt ??= report.startedAt;
    current.sequence = report.sequence;
    current.slots = report.slots;
    // A report that was sent before the server began to drain must not open the gate again.
    if (!report.draining || current.state === ServerState.Draining) return ReportEffect.Unchanged;
    current.state = ServerState.Draining;
    return ReportEffect.Draining;
  }

  /** The server answered a health check: it is up under this identifier. */
  public seen(instanceId: string, slots: number, now: number): ReportEffect {
    if (this.current?.instanceId === instanceId) return ReportEffect.Unchanged;
    return this.report(
      {
        coldMilliseconds: 0,
        draining: false,
        instanceId,
        sequence: 0,
        slots,
        startedAt: undefined,
      },
      now,
    );
  }

  /** The server says that it leaves. True if it was the lifetime in force. */
  public leave(instanceId: string): boolean {
    const { current } = this;
    this.remember(instanceId, current?.instanceId === instanceId ? current.startedAt : undefined);
    if (current?.instanceId !== instanceId) return false;
    this.current = undefined;
    return true;
  }

  /** An earlier life of this process confirmed that a server drains or left. True if it was in force. */
  public endedBefore({ instanceId, startedAt }: EndedServer): boolean {
    this.remember(instanceId, startedAt);
    const { current } = this;
    if (current?.instanceId !== instanceId) return false;
    if ((current.startedAt ?? 0) > (startedAt ?? Infinity)) return false;
    this.current = undefined;
    return true;
  }

  private start(report: ServerReport, now: number): ReportEffect {
    const { current } = this;
    if (current !== undefined) {
      if (isOlder(report, current)) return ReportEffect.Ignored;
      if (current.instanceId !== report.instanceId) {
        this.remember(current.instanceId, current.startedAt);
      }
    }
    this.current = {
      coldUntil: now + report.coldMilliseconds,
      instanceId: report.instanceId,
      sequence: report.sequence,
      slots: report.slots,
      startedAt: report.startedAt,
      state: report.draining ? ServerState.Draining : ServerState.Ready,
    };
    return report.draining ? ReportEffect.Draining : ReportEffect.Started;
  }

  private isEnded({ instanceId, startedAt }: ServerReport): boolean {
    if (!this.ended.has(instanceId)) return false;
    const endedStart = this.ended.get(instanceId);
    return startedAt === undefined || endedStart === undefined || startedAt <= endedStart;
  }

  /** Without a start, every lifetime of the identifier has ended; one that is known is kept. */
  private remember(instanceId: string, startedAt: number | undefined): void {
    const known = this.ended.get(instanceId);
    const newest = Math.max(startedAt ?? -Infinity, known ?? -Infinity);
    this.ended.delete(instanceId);
    this.ended.set(instanceId, newest === -Infinity ? undefined : newest);
    if (this.ended.size <= rememberedLifetimes) return;
    const [oldest] = this.ended.keys();
    if (oldest !== undefined) this.ended.delete(oldest);
  }
}

/** Ended lifetimes that are remembered; one machine sees a handful of servers in its life. */
const rememberedLifetimes = 64;

function isSameLifetime(current: Lifetime, report: ServerReport): boolean {
  if (current.instanceId !== report.instanceId) return false;
  return (
    current.startedAt === undefined ||
    report.startedAt === undefined ||
    current.startedAt === report.startedAt
  );
}

function isOlder(report: ServerReport, current: Lifetime): boolean {
  if (report.startedAt === undefined || current.startedAt === undefined) return false;
  return report.startedAt < current.startedAt;
}
