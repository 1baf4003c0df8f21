import { DeclineReason } from '@peridotspring/mesh-core';
import type {
  Execution,
  ExecutionResult,
  ServerLoad,
  ServerNotice,
  StartFrame,
} from '@peridotspring/mesh-core';
import type { RandomSource } from '@peridotspring/core';
import type { HealthCheckResult, ServerMessage } from '@peridotspring/upstreams/mesh';

import type { EventQueue } from './event-queue.js';

/** One execution of a request at a server. */
export interface Run {
  readonly requestId: string;
  readonly at: number;
  /** Identifies one incarnation of a server; instance identifiers may be reused. */
  readonly incarnation: string;
  readonly isCold: boolean;
}

/** A limit on its requests that a server states in its answers for some time. */
export interface StatedLimit {
  readonly incarnation: string;
  readonly requestsPerSecond: number;
  /** Time of the first answer that stated it. */
  firstStatedAt: number;
  endedAt: number;
}

/** What a server hears from its node; not confirmed if the node is down, or ends before it responds. */
export interface MessageResponse {
  readonly isConfirmed: boolean;
  /** Names the address for later reports: it is open while the process of the node lives that has this boot number. */
  readonly freshBoot?: number;
}

export interface VirtualServerOptions {
  readonly queue: EventQueue;
  readonly random: RandomSource;
  readonly name: string;
  readonly slots: number;
  /** Time for which an incarnation is cold after its start. */
  readonly coldMilliseconds: number;
  /** Sends a message to the node beside the server. `freshBoot` names the address that a response told the server, if any. */
  readonly sendMessage: (
    message: ServerMessage,
    freshBoot: number | undefined,
  ) => Promise<MessageResponse>;
  /** Called with the load that accompanies each answer. */
  readonly onLoad: (load: ServerLoad) => void;
  /** Called with what the server states about itself in each answer. */
  readonly onNotice: (notice: ServerNotice) => void;
  readonly onConcluded: (executionId: number, result: ExecutionResult) => void;
  /** Makes the call that a run of the route needs before its own work; calls back at once if it needs none. */
  readonly makeCall: (frame: StartFrame, onEnded: (isAnswered: boolean) => void) => void;
}

/** Share of the slots above which some servers slow down. */
const crowdedShare = 0.8;
const oneWayLatencyMilliseconds = 0.5;
const reportIntervalMilliseconds = 300;
/** Share of reports that are delivered a second time, possibly after later ones. */
const duplicatedReportShare = 0.2;
const longestReportDelayMilliseconds = 1_500;
const shortestWorkMilliseconds = 5;
const longestWorkMilliseconds = 60;
/** The work is skewed by the square of a uniform random number from 0 to 1, whose mean is one third. */
export const meanWorkMilliseconds =
  shortestWorkMilliseconds + (longestWorkMilliseconds - shortestWorkMilliseconds) / 3;

/** Requests whose path ends with this crash the server that runs them. */
export const deadlyPathSuffix = '/deadly';
const crashedMilliseconds = 1_000;
/** A server that leaves and gets no confirmation exits after this time. */
const unconfirmedMilliseconds = 3_000;

const lostConnection = { isConnectionLost: true, kind: 'failed' } as const;

/** A server beside a node. Its incarnations end either by draining and leaving or without notice. */
export class VirtualServer {
  public readonly runs: Run[] = [];
  /** Time at which the end of each incarnation was confirmed; no request may start in that incarnation afterwards. */
  public readonly endConfirmedAt = new Map<string, number>();
  public readonly statedLimits: StatedLimit[] = [];
  /** Share of answers that are lost because the connection is reset. */
  public lostAnswerShare = 0;
  public slowdown = 1;
  /** Duration of all work relative to the usual one of this simulation. */
  public workFactor = 1;
  /** As above for single routes, instead of the common factor. */
  public workFactorByRoute: ReadonlyMap<string, number> = new Map();
  /** Slowdown of a request that starts while more than four fifths of the slots are in use. */
  public crowdedFactor = 1;
  /** Slowdown of a request that starts while the server is cold. */
  public coldFactor = 1;
  /** Times at which requests that crash servers started here. */
  public readonly deadlyStarts: number[] = [];
  public readonly crashTimes: number[] = [];
  private isDown = false;
  private currentLimit: StatedLimit | undefined;
  private coldUntil = Number.NEGATIVE_INFINITY;
  private incarnationNumber = 0;
  private instanceId = '';
  private incarnationStartedAt = 0;
  private sequence = 0;
  private isDraining = false;
  private freshBoot: number | undefined;
  /** Whether the incarnation has left; it sends no further reports. */
  private isRetired = false;
  private running = 0;
  /** Functions that cancel running requests, by execution identifier. */
  private readonly cancelByExecution = new Map<number, () => void>();
  private readonly lostByExecution = new Map<number, () => void>();

  public constructor(private readonly options: VirtualServerOptions) {
    this.startIncarnation('i-1');
    options.queue.after(reportIntervalMilliseconds * options.random.next(), () => {
      this.reportPeriodically();
    });
  }

  /** Ends the incarnation without notice; the next one has the same instance identifier or a new one. */
  public restart(keepsIdentifier: boolean): void {
    this.startIncarnation(keepsIdentifier ? this.instanceId : `i-${this.incarnationNumber + 1}`);
  }

  /** Ends without notice and is down for some time; the connections of running requests are lost. */
  public crash(downMilliseconds: number): void {
    if (this.isDown) return;
    this.crashTimes.push(this.options.queue.now);
    this.isDown = true;
    const lost = [...this.lostByExecution.values()];
    this.cancelByExecution.clear();
    this.lostByExecution.clear();
    for (const lose of lost) lose();
    this.options.queue.after(downMilliseconds, () => {
      this.isDown = false;
      this.startIncarnation(`i-${this.incarnationNumber + 1}`);
    });
  }

  /** Whether connections to the server are refused. */
  public isRefusingConnections(): boolean {
    return this.isDown;
  }

  /** States a limit on its requests in its answers for some time. */
  public stateLimit(requestsPerSecond: number, milliseconds: number): void {
    if (this.currentLimit !== undefined) return;
    const limit: StatedLimit = {
      endedAt: Infinity,
      firstStatedAt: Infinity,
      incarnation: this.incarnation,
      requestsPerSecond,
    };
    this.statedLimits.push(limit);
    this.currentLimit = limit;
    this.options.queue.after(milliseconds, () => {
      this.endLimit(limit);
    });
  }

  /** Turns cold again under the same identifier. */
  public turnCold(): void {
    this.coldUntil = this.options.queue.now + this.options.coldMilliseconds;
  }

  /** Drains, leaves once nothing runs, and starts again. The leave message is repeated until it is confirmed. */
  public replace(keepsIdentifier: boolean): void {
    const { incarnation } = this;
    this.isDraining = true;
    void this.report().then((isConfirmed) => {
      if (isConfirmed) this.endConfirmedAt.set(incarnation, this.options.queue.now);
    });
    this.options.queue.after(200, () => {
      void this.leave(incarnation, keepsIdentifier);
    });
  }

  /**
   * Leaves with no notice but the message that it leaves, and goes on serving and answering health checks for some time, confirmed
   * or not. Then it starts again.
   */
  public retire(servingMilliseconds: number): void {
    const { incarnation, instanceId, options } = this;
    if (this.isDown || this.isRetired) return;
    this.isRetired = true;
    void this.send({ instanceId, kind: 'leave' }).then((isConfirmed) => {
      if (isConfirmed) this.endConfirmedAt.set(incarnation, options.queue.now);
    });
    options.queue.after(servingMilliseconds, () => {
      if (incarnation === this.incarnation) this.restart(false);
    });
  }

  public run({ executionId, frame, instanceId }: Execution): void {
    const { onConcluded, queue, random } = this.options;
    queue.after(oneWayLatencyMilliseconds, () => {
      if (this.isDown) {
        const reason = DeclineReason.ServerUnreachable;
        onConcluded(executionId, { detail: 'refused', kind: 'not-run', reason });
        return;
      }
      if (instanceId !== this.instanceId || this.running >= this.options.slots) {
        const reason = DeclineReason.ServerRefused;
        onConcluded(executionId, { detail: 'not run', kind: 'not-run', reason });
        return;
      }
      const { incarnation } = this;
      const isCold = queue.now < this.coldUntil;
      this.runs.push({ at: queue.now, incarnation, isCold, requestId: frame.requestId });
      this.running += 1;
      const spread = longestWorkMilliseconds - shortestWorkMilliseconds;
      const usualWork = shortestWorkMilliseconds + spread * random.next() ** 2;
      const workFactor = this.workFactorByRoute.get(frame.routeName) ?? this.workFactor;
      const work = usualWork * workFactor * this.currentSlowdown;
      const isDeadly = frame.path.endsWith(deadlyPathSuffix);
      if (isDeadly) this.deadlyStarts.push(queue.now);
      let isCancelled = false;
      let cancelWork = (): void => undefined;
      const cancel = (): void => {
        isCancelled = true;
        cancelWork();
      };
      const onWorkDone = (isCallAnswered: boolean): void => {
        this.cancelByExecution.delete(executionId);
        if (isDeadly && incarnation === this.incarnation) {
          this.crash(crashedMilliseconds);
          return;
        }
        this.lostByExecution.delete(executionId);
        if (incarnation !== this.incarnation) {
          onConcluded(executionId, { ...lostConnection, detail: 'the server ended' });
          return;
        }
        this.running -= 1;
        if (random.next() < this.lostAnswerShare) {
          onConcluded(executionId, { ...lostConnection, detail: 'reset' });
          return;
        }
        const body = Buffer.from(frame.requestId);
        this.options.onLoad(this.load);
        this.options.onNotice(this.createNotice());
        const status = isCallAnswered ? 200 : 500;
        onConcluded(executionId, { body, headers: [], kind: 'answered', status });
      };
      this.lostByExecution.set(executionId, () => {
        cancel();
        onConcluded(executionId, { ...lostConnection, detail: 'the server crashed' });
      });
      this.cancelByExecution.set(executionId, () => {
        cancel();
        this.lostByExecution.delete(executionId);
        if (incarnation === this.incarnation) this.running -= 1;
      });
      this.options.makeCall(frame, (isAnswered) => {
        if (isCancelled) return;
        cancelWork = queue.after(work, () => {
          onWorkDone(isAnswered);
        });
      });
    });
  }

  /** The connection of a running request is closed, and the server stops working on it. */
  public abort(executionId: number): void {
    this.cancelByExecution.get(executionId)?.();
    this.cancelByExecution.delete(executionId);
    this.options.queue.after(0, () => {
      this.options.onConcluded(executionId, { detail: 'aborted', kind: 'failed' });
    });
  }

  public health(): HealthCheckResult | undefined {
    if (this.isDown) return undefined;
    return {
      coldMilliseconds: this.coldRemaining,
      instanceId: this.instanceId,
      isReady: !this.isDraining,
      load: this.load,
    };
  }

  private createNotice(): ServerNotice {
    const { currentLimit, instanceId, options } = this;
    if (currentLimit !== undefined)
      currentLimit.firstStatedAt = Math.min(currentLimit.firstStatedAt, options.queue.now);
    const requestsPerSecond = currentLimit?.requestsPerSecond ?? Infinity;
    return { instanceId, isLeaving: false, requestsPerSecond };
  }

  private endLimit(limit: StatedLimit): void {
    limit.endedAt = Math.min(limit.endedAt, this.options.queue.now);
    if (this.currentLimit === limit) this.currentLimit = undefined;
  }

  private get currentSlowdown(): number {
    const isCrowded = this.running > this.options.slots * crowdedShare;
    return (
      this.slowdown *
      (isCrowded ? this.crowdedFactor : 1) *
      (this.coldRemaining > 0 ? this.coldFactor : 1)
    );
  }

  private get load(): ServerLoad {
    return {
      running: this.running,
      slots: this.options.slots,
      slowdown: this.slowdown * (this.coldRemaining > 0 ? this.coldFactor : 1),
      waiting: 0,
    };
  }

  private get coldRemaining(): number {
    return Math.max(0, this.coldUntil - this.options.queue.now);
  }

  private get incarnation(): string {
    return `${this.options.name}/${this.incarnationNumber}`;
  }

  private async leave(
    incarnation: string,
    keepsIdentifier: boolean,
    givesUpAt = this.options.queue.now + unconfirmedMilliseconds,
  ): Promise<void> {
    if (incarnation !== this.incarnation) return;
    const { instanceId } = this;
    const isConfirmed = (await this.report()) && (await this.send({ instanceId, kind: 'leave' }));
    if (incarnation !== this.incarnation) return;
    const isPatienceOver = this.options.queue.now >= givesUpAt;
    if ((isConfirmed || isPatienceOver) && this.running === 0) {
      this.restart(keepsIdentifier);
      return;
    }
    this.options.queue.after(50, () => {
      void this.leave(incarnation, keepsIdentifier, givesUpAt);
    });
  }

  private startIncarnation(instanceId: string): void {
    // A server that is down starts when it is back.
    if (this.isDown) return;
    if (this.currentLimit !== undefined) this.endLimit(this.currentLimit);
    this.incarnationNumber += 1;
    this.instanceId = instanceId;
    // Nodes expect an integer. The addend makes incarnations differ that begin within the same millisecond.
    this.incarnationStartedAt = Math.ceil(this.options.queue.now) + this.incarnationNumber;
    this.turnCold();
    this.sequence = 0;
    this.isDraining = false;
    this.isRetired = false;
    this.freshBoot = undefined;
    this.running = 0;
    this.options.queue.after(10, () => {
      void this.report();
    });
  }

  private reportPeriodically(): void {
    void this.report();
    this.options.queue.after(reportIntervalMilliseconds, () => {
      this.reportPeriodically();
    });
  }

  private async report(): Promise<boolean> {
    if (this.isDown || this.isRetired) return false;
    this.sequence += 1;
    const message: ServerMessage = {
      kind: 'report',
      report: {
        coldMilliseconds: this.coldRemaining,
        draining: this.isDraining,
        instanceId: this.instanceId,
        sequence: this.sequence,
        slots: this.options.slots,
        startedAt: this.incarnationStartedAt,
      },
    };
    const { queue, random, sendMessage } = this.options;
    if (random.next() < duplicatedReportShare) {
      const { freshBoot } = this;
      // A late duplicate may reach a later incarnation of the node.
      queue.after(longestReportDelayMilliseconds * random.next(), () => {
        void sendMessage(message, freshBoot);
      });
    }
    return this.send(message);
  }

  private async send(message: ServerMessage): Promise<boolean> {
    const { incarnation } = this;
    const { freshBoot, isConfirmed } = await this.options.sendMessage(message, this.freshBoot);
    if (freshBoot !== undefined && incarnation === this.incarnation) this.freshBoot = freshBoot;
    return isConfirmed;
  }
}
