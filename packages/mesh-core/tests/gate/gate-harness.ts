import { RequestQuarantine, ServerGate } from '../../src/index.js';
import type {
  CrashedRun,
  Execution,
  ExecutionResult,
  GateEvent,
  ReplyFrame,
  StartFrame,
} from '../../src/index.js';
import { createMemoryAccount, createServerReport, createStartFrame } from '../fixtures.js';

/** Small, so that tests reach the limit. */
export const retainedReplyBytes = 10_000;

const serverInstanceId = createServerReport().instanceId;

/** A gate whose server is simulated by the test. */
export class GateHarness {
  public readonly replies: ReplyFrame[] = [];
  /** The incarnation of the entry's process that each reply was sent to. */
  public readonly replyBoots: number[] = [];
  public readonly running: Execution[] = [];
  public readonly aborted: number[] = [];
  /** Time on the `LeaseClock`. */
  public leaseNow = 0;
  public probes = 0;
  public listenerChecks = 0;
  public stateChanges = 0;
  public readonly crashes: (readonly CrashedRun[])[] = [];
  public readonly quarantine = new RequestQuarantine({
    digest: (content) => content.toString(),
    onQuarantineChanged: () => undefined,
  });
  public readonly gate: ServerGate;
  private nextCallId = 1;

  public constructor(slots = 2, log: (event: GateEvent) => void = () => undefined, sequence = 1) {
    this.gate = new ServerGate({
      leaseClock: () => this.leaseNow,
      log,
      port: {
        abort: (executionId) => this.aborted.push(executionId),
        checkListener: () => (this.listenerChecks += 1),
        onServerCrashed: (runs) => this.crashes.push(runs),
        onStateChanged: () => (this.stateChanges += 1),
        probe: () => (this.probes += 1),
        reply: (_node, boot, frame) => {
          this.replies.push(frame);
          this.replyBoots.push(boot);
        },
        run: (execution) => this.running.push(execution),
      },
      probesPerSecond: 30,
      callMemory: {
        account: createMemoryAccount(),
        protocol: createMemoryAccount(),
        retainedBytes: retainedReplyBytes,
      },
      quarantine: this.quarantine,
      processStartedAt: Number.NEGATIVE_INFINITY,
      reportIntervalMilliseconds: 1_500,
      service: 'shop',
    });
    this.gate.onServerReport(createServerReport({ sequence, slots }), 0);
  }

  /** The server states in a response how many requests per second it takes. */
  public stateLimit(requestsPerSecond: number | undefined, now: number): void {
    this.gate.onServerNotice(
      { instanceId: serverInstanceId, isLeaving: false, requestsPerSecond },
      now,
    );
  }

  /** The server states in a response that it leaves. */
  public stateLeaving(now: number, instanceId = serverInstanceId): void {
    this.gate.onServerNotice({ instanceId, isLeaving: true, requestsPerSecond: Infinity }, now);
  }

  public start(changes: Partial<StartFrame> = {}, now = 0): number {
    const callId = changes.callId ?? this.nextCallId;
    this.nextCallId += 1;
    const requestId = `r${callId}`;
    this.gate.start('entry', 1, createStartFrame({ callId, requestId, ...changes }), now);
    return callId;
  }

  public finish(index: number, now: number, result: Partial<ExecutionResult> = {}): void {
    const executionId = this.running[index]?.executionId ?? 0;
    const answered = { body: new Uint8Array(), headers: [], kind: 'answered', status: 200 };
    this.gate.onExecutionFinished(executionId, { ...answered, ...result } as ExecutionResult, now);
  }

  public get startedCalls(): readonly number[] {
    return this.running.map(({ frame }) => frame.callId);
  }

  public outcomeOf(callId: number): string | undefined {
    const reply = this.replies.find((frame) => frame.callId === callId);
    return reply?.kind === 'declined' ? reply.reason : reply?.kind;
  }
}
