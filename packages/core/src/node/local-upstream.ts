import type { GateContract } from '../gate/gate-contract.js';
import type { UpstreamAnnouncement } from '../messages/member.js';
import type { Configuration } from '../messages/service-configuration.js';
import type { PollBudget, PollScheduler } from '../probing/poll-scheduler.js';
import type { ClockReading } from '../shared/clock-reading.js';
import type { ExecutionManager } from './execution-manager.js';
import type { Outbox } from './outbox.js';

export interface LocalUpstreamOptions {
  readonly gate: GateContract;
  readonly polls: PollScheduler;
  readonly executions: ExecutionManager;
  readonly outbox: Outbox;
}

/**
 * Applies the announcements, configuration and poll results of this node's own upstream to its
 * gate.
 */
export class LocalUpstream {
  private service: string | undefined;

  public constructor(private readonly options: LocalUpstreamOptions) {}

  public onAnnounced(
    announcement: UpstreamAnnouncement,
    configuration: Configuration,
    now: ClockReading,
  ): void {
    const { executions, gate, polls } = this.options;
    this.service = announcement.service;
    polls.setSlots(announcement.slots, now);
    this.applyConfiguration(configuration, now);
    executions.apply(gate.announce(announcement, now), now);
  }

  public onLeft(now: ClockReading): void {
    const { executions, gate, polls } = this.options;
    polls.setSlots(0, now);
    executions.apply(gate.onUpstreamLeft(now), now);
  }

  public applyConfiguration({ services }: Configuration, now: ClockReading): void {
    const { executions, gate, polls } = this.options;
    const serviceConfiguration = this.service === undefined ? undefined : services[this.service];
    if (serviceConfiguration !== undefined) {
      polls.configure(serviceConfiguration.probeBudgetShare, now);
      executions.apply(gate.configure(serviceConfiguration, now), now);
    }
  }

  public onPolled(healthy: boolean, inFlight: number | undefined, now: ClockReading): void {
    const { executions, gate, polls } = this.options;
    polls.onPollFinished();
    executions.apply(gate.onPolled(healthy, inFlight, now), now);
  }

  public tick(now: ClockReading): void {
    const { executions, gate, outbox, polls } = this.options;
    executions.apply(gate.tick(now), now);
    executions.tick(now);
    if (polls.tryStartPoll(now)) {
      outbox.push({ kind: 'poll-upstream' });
    }
  }

  /** Monotonic time at which the next poll of the upstream is due. */
  public get nextPollAt(): number {
    return this.options.polls.nextDueAt;
  }

  public pollBudget(now: ClockReading): PollBudget {
    return this.options.polls.budget(now);
  }
}
