import { Gate, serviceDefaults } from '../../src/index.js';
import type {
  ClockReading,
  ExecutionEnd,
  GateDecision,
  ServiceConfiguration,
  TenantShare,
} from '../../src/index.js';

/** A gate with its own clock, an announced upstream and a log of what it decided. */
export class GateBench {
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
    this.add(this.gate.configure(configuration, this.now));
    this.announce(slots);
  }

  public get now(): ClockReading {
    return { monotonic: this.time, wall: this.time };
  }

  public announce(slots: number, service = 'antrag'): void {
    const announcement = { address: '127.0.0.1:9', connections: 20, service, slots };
    this.add(this.gate.announce(announcement, this.now));
  }

  public offer(options: { tenant?: string; within?: number; service?: string } = {}): number {
    const executionId = this.nextExecution;
    this.nextExecution += 1;
    const { service = 'antrag', tenant = 'a', within = 2_000 } = options;
    const deadline = this.time + within;
    this.add(this.gate.offer({ deadline, executionId, service, tenant }, this.now));
    return executionId;
  }

  public offerMany(count: number, tenant = 'a'): number[] {
    return Array.from({ length: count }, () => this.offer({ tenant }));
  }

  public finish(executionId: number, end: ExecutionEnd = 'answered', after = 0): void {
    this.time += after;
    this.add(this.gate.finished(executionId, end, this.now));
  }

  public add(decisions: readonly GateDecision[]): void {
    this.decisions.push(...decisions);
  }

  /** `start`, a refusal reason, or `waiting`. */
  public stateOf(executionId: number): string {
    const decision = this.decisions.find((made) => made.executionId === executionId);
    if (decision === undefined) return 'waiting';
    return decision.kind === 'start' ? 'start' : decision.refusal.reason;
  }

  public retryAfter(executionId: number): number | undefined {
    const decision = this.decisions.find((made) => made.executionId === executionId);
    return decision?.kind === 'refuse' ? decision.refusal.retryAfterMilliseconds : undefined;
  }

  /** Teaches the gate a service time with requests that run one after the other. */
  public learn(milliseconds: number, count = 50): void {
    for (let request = 0; request < count; request += 1) {
      this.finish(this.offer(), 'answered', milliseconds);
    }
  }
}
