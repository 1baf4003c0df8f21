import type { GateContract } from '../gate/gate-contract.js';
import type { UpstreamAnnouncement } from '../messages/member.js';
import type { Configuration } from '../messages/service-configuration.js';
import type { PollBudget, PollScheduler } from '../probing/poll-scheduler.js';
import type { ClockReading } from '../shared/clock-reading.js';
import type { ExecutionBoard } from './execution-board.js';
import type { Outbox } from './outbox.js';

export interface UpstreamBoardOptions {
  readonly gate: GateContract;
  readonly polls: PollScheduler;
  readonly executions: ExecutionBoard;
  readonly outbox: Outbox;
}

/** What the node knows of its own upstream: announcement, configuration and polls. */
export class UpstreamBoard {
  private service: string | undefined;

  public constructor(private readonly options: UpstreamBoardOptions) {}

  public announce(
    announcement: UpstreamAnnouncement,
    configuration: Configuration,
    now: ClockReading,
  ): void {
    const { executions, gate, polls } = this.options;
    this.service = announcement.service;
    polls.announce(announcement.slots, now);
    this.configure(configuration, now);
    executions.apply(gate.announce(announcement, now), now);
  }

  public leave(now: ClockReading): void {
    const { executions, gate, polls } = this.options;
    polls.announce(0, now);
    executions.apply(gate.leave(now), now);
  }

  public configure({ services }: Configuration, now: ClockReading): void {
    const { executions, gate, polls } = this.options;
    const declared = this.service === undefined ? undefined : services[this.service];
    if (declared !== undefined) {
      polls.configure(declared.probeBudgetShare, now);
      executions.apply(gate.configure(declared, now), now);
    }
  }

  public polled(healthy: boolean, inFlight: number | undefined, now: ClockReading): void {
    const { executions, gate, polls } = this.options;
    polls.polled();
    executions.apply(gate.polled(healthy, inFlight, now), now);
  }

  public tick(now: ClockReading): void {
    const { executions, gate, outbox, polls } = this.options;
    executions.apply(gate.tick(now), now);
    executions.tick(now);
    if (polls.due(now)) {
      outbox.push({ kind: 'poll-upstream' });
    }
  }

  /** When the next poll of the upstream is due. */
  public get nextPollAt(): number {
    return this.options.polls.nextDueAt;
  }

  public pollBudget(now: ClockReading): PollBudget {
    return this.options.polls.budget(now);
  }
}
