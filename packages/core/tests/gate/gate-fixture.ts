import { Gate, serviceDefaults } from '../../src/index.js';
import type {
  ClockReading,
  ExecutionEnd,
  GateDecision,
  ServiceConfiguration,
  TenantShare,
} from '../../src/index.js';

/** A gate with a clock under control of the test, an announced upstream and a list of its decisions. */
export class GateFixture {
  public readonly gate = new Gate();
  public readonly decisions: GateDecision[] = [];
  public time = 1_000;
  private nextExecution = 1;

  public constructor(
    slots = 2,
    rampMilliseconds = 0,
    tenants: readonly TenantShare[] = [],
    bounds: Partial<ServiceConfiguration> = {},
  ) {
    const base = { ...serviceDefaults, name: 'antrag', rampMilliseconds, tenants };
    const configuration = { ...base, ...bounds };
    this.record(this.gate.configure(configuration, this.now));
    this.announce(slots);
  }

  public get now(): ClockReading {
    return { monotonic: this.time, wall: this.time };
  }

  public announce(slots: number, service = 'antrag'): void {
    const announcement = { address: '127.0.0.1:9', connections: 20, service, slots };
    this.record(this.gate.announce(announcement, this.now));
  }

  public submit(options: { tenant?: string; within?: number; service?: string } = {}): number {
    const executionId = this.nextExecution;
    this.nextExecution += 1;
    const { service = 'antrag', tenant = 'a', within = 2_000 } = options;
    const deadline = this.time + within;
    this.record(this.gate.submit({ deadline, executionId, service, tenant }, this.now));
    return executionId;
  }

  public submitMany(count: number, tenant = 'a'): number[] {
    return Array.from({ length: count }, () => this.submit({ tenant }));
  }

  public finish(executionId: number, end: ExecutionEnd = 'answered', after = 0): void {
    this.time += after;
    this.record(this.gate.onFinished(executionId, end, this.now));
  }

  public record(decisions: readonly GateDecision[]): void {
    this.decisions.push(...decisions);
  }

  /** `start`, the reason of the refusal, or `waiting` if the request is still queued. */
  public decisionOf(executionId: number): string {
    const decision = this.decisions.find((made) => made.executionId === executionId);
    if (decision === undefined) return 'waiting';
    return decision.kind === 'start' ? 'start' : decision.refusal.reason;
  }

  public retryAfter(executionId: number): number | undefined {
    const decision = this.decisions.find((made) => made.executionId === executionId);
    return decision?.kind === 'refuse' ? decision.refusal.retryAfterMilliseconds : undefined;
  }

  /** Makes the gate learn a service time from requests that run one after the other. */
  public trainServiceTime(milliseconds: number, count = 50): void {
    for (let request = 0; request < count; request += 1) {
      this.finish(this.submit(), 'answered', milliseconds);
    }
  }
}
