import { isSameOrEarlier } from '../departures/same-or-earlier.js';
import { BoundedMap } from '../shared/bounded-map.js';
import { ServerState } from '../messages/mesh-frames.js';
import type { EndedServer } from '../messages/mesh-frames.js';
import type { ServerReport } from './gate-contract.js';

/** Effect of a server report. */
export const ReportEffect = {
  /** A later report of the incarnation preceded it, or a later incarnation began. */
  Ignored: 'ignored',
  /** The incarnation has left. */
  Ended: 'ended',
  Unchanged: 'unchanged',
  /** A new incarnation became the current one. */
  Started: 'started',
  Draining: 'draining',
} as const;
export type ReportEffect = (typeof ReportEffect)[keyof typeof ReportEffect];

interface Incarnation {
  readonly instanceId: string;
  /** Undefined while the incarnation is known only from a health check. */
  startedAt: number | undefined;
  sequence: number;
  slots: number;
  state: ServerState;
}

/**
 * Tracks the current incarnation of the server. Reports may arrive late, out of order, and after the
 * incarnation that sent them has ended; a restarted server may reuse its identifier.
 */
export class ServerIncarnationTracker {
  private current: Incarnation | undefined;
  /** Whether a report has stated the start of a server; then those without one come from another writer. */
  private hasStatedStart = false;
  /** Start times of incarnations that left or were replaced, by instance identifier. */
  private readonly endedStarts = new Map<string, number | undefined>();
  /** Identifiers of servers that are or were beside the node. */
  private readonly ownInstances = new BoundedMap<string, true>(maximumEndedIncarnations);

  public get state(): ServerState {
    return this.current?.state ?? ServerState.Absent;
  }

  public get instanceId(): string | undefined {
    return this.current?.instanceId;
  }

  /** Whether the server has announced that it drains or leaves, and no other has started since. */
  public get hasLeft(): boolean {
    if (this.current !== undefined) return this.current.state === ServerState.Draining;
    return this.endedStarts.size > 0;
  }

  /** The incarnation that is draining, or the one that ended last. */
  public get lastEnded(): EndedServer | undefined {
    if (this.current?.state === ServerState.Draining) {
      return { instanceId: this.current.instanceId, startedAt: this.current.startedAt };
    }
    const [instanceId, startedAt] = [...this.endedStarts].at(-1) ?? [];
    return instanceId === undefined ? undefined : { instanceId, startedAt };
  }

  /** The incarnation that an announcement of its end means, which states only the identifier. */
  public incarnationOf(instanceId: string): EndedServer {
    const { current } = this;
    const startedAt =
      current?.instanceId === instanceId ? current.startedAt : this.endedStarts.get(instanceId);
    return { instanceId, startedAt };
  }

  /** Whether a server with this identifier may be beside the node, or have been: it is or was the current one, or there is none. */
  public mayBeOwn(instanceId: string): boolean {
    return this.current === undefined || this.ownInstances.get(instanceId) === true;
  }

  public get slots(): number {
    return this.current?.slots ?? 0;
  }

  public onReport(report: ServerReport): ReportEffect {
    if (report.startedAt === undefined && this.hasStatedStart) return ReportEffect.Ignored;
    this.hasStatedStart ||= report.startedAt !== undefined;
    return this.apply(report);
  }

  private apply(report: ServerReport): ReportEffect {
    if (this.hasEnded(report)) return ReportEffect.Ended;
    const { current } = this;
    if (current === undefined || !isSameIncarnation(current, report))
      return this.startIncarnation(report);
    if (report.sequence < current.sequence) return ReportEffect.Ignored;
    // Without its start, the next incarnation under the same identifier would be taken for this one.
    current.startedAt ??= report.startedAt;
    current.sequence = report.sequence;
    current.slots = report.slots;
    // A report that was sent before the server began to drain must not reopen the gate.
    if (!report.draining || current.state === ServerState.Draining) return ReportEffect.Unchanged;
    current.state = ServerState.Draining;
    return ReportEffect.Draining;
  }

  /** Handles a successful health check: a server is running under this identifier. */
  public onHealthCheckPassed(instanceId: string, slots: number): ReportEffect {
    if (this.current?.instanceId === instanceId) return ReportEffect.Unchanged;
    return this.apply({
      coldMilliseconds: 0,
      draining: false,
      instanceId,
      sequence: 0,
      slots,
      startedAt: undefined,
    });
  }

  /** Handles a response in which the server states that it leaves. */
  public onLeavingStated(instanceId: string): ReportEffect {
    const { current } = this;
    if (current?.instanceId !== instanceId) return ReportEffect.Ignored;
    if (current.state === ServerState.Draining) return ReportEffect.Unchanged;
    current.state = ServerState.Draining;
    return ReportEffect.Draining;
  }

  /** Handles the announcement of a server that it leaves. Returns whether it was the current incarnation. */
  public onLeaving(instanceId: string): boolean {
    const { current } = this;
    if (current === undefined) this.ownInstances.set(instanceId, true);
    this.recordEnded(
      instanceId,
      current?.instanceId === instanceId ? current.startedAt : undefined,
    );
    if (current?.instanceId !== instanceId) return false;
    this.current = undefined;
    return true;
  }

  /**
   * Handles the report that an earlier incarnation of this process confirmed the drain or end of a server.
   * Returns whether it was the current incarnation, and in use.
   */
  public onEndReported(ended: EndedServer): boolean {
    const { current } = this;
    const isCurrent = current !== undefined && isSameOrEarlier(current, ended);
    if (isCurrent && current.state === ServerState.Draining) return false;
    this.ownInstances.set(ended.instanceId, true);
    this.recordEnded(ended.instanceId, ended.startedAt);
    if (!isCurrent) return false;
    this.current = undefined;
    return true;
  }

  private startIncarnation(report: ServerReport): ReportEffect {
    const { current } = this;
    if (current !== undefined) {
      if (isOlder(report, current)) return ReportEffect.Ignored;
      if (current.instanceId !== report.instanceId) {
        this.recordEnded(current.instanceId, current.startedAt);
      }
    }
    this.ownInstances.set(report.instanceId, true);
    this.current = {
      instanceId: report.instanceId,
      sequence: report.sequence,
      slots: report.slots,
      startedAt: report.startedAt,
      state: report.draining ? ServerState.Draining : ServerState.Ready,
    };
    return report.draining ? ReportEffect.Draining : ReportEffect.Started;
  }

  private hasEnded(report: ServerReport): boolean {
    const { instanceId } = report;
    if (!this.endedStarts.has(instanceId)) return false;
    return isSameOrEarlier(report, { instanceId, startedAt: this.endedStarts.get(instanceId) });
  }

  /**
   * Records an ended incarnation. If no start is known, all incarnations with the identifier count as ended;
   * a start that is known already is kept.
   */
  private recordEnded(instanceId: string, startedAt: number | undefined): void {
    const known = this.endedStarts.get(instanceId);
    const newest = Math.max(startedAt ?? -Infinity, known ?? -Infinity);
    this.endedStarts.delete(instanceId);
    this.endedStarts.set(instanceId, newest === -Infinity ? undefined : newest);
    if (this.endedStarts.size <= maximumEndedIncarnations) return;
    const [oldest] = this.endedStarts.keys();
    if (oldest !== undefined) this.endedStarts.delete(oldest);
  }
}

/** Maximum number of ended incarnations that are kept; a machine runs only a handful of servers in its lifetime. */
const maximumEndedIncarnations = 64;

function isSameIncarnation(current: Incarnation, report: ServerReport): boolean {
  if (current.instanceId !== report.instanceId) return false;
  return (
    current.startedAt === undefined ||
    report.startedAt === undefined ||
    current.startedAt === report.startedAt
  );
}

function isOlder(report: ServerReport, current: Incarnation): boolean {
  if (report.startedAt === undefined || current.startedAt === undefined) return false;
  return report.startedAt < current.startedAt;
}
