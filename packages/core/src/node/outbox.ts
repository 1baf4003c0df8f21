import type { AttemptStep, CoreCommand, LogCommand } from '../messages/core-command.js';
import type { CoreFrame } from '../messages/frames.js';

/** Metric names of the counters that the core increments. */
export const CounterName = {
  Admitted: 'gate_admitted',
  LateResults: 'late_results',
  Refusals: 'refusals',
  Requests: 'requests',
  Retries: 'retries',
  Unknowns: 'unknown_outcomes',
} as const;
export type CounterName = (typeof CounterName)[keyof typeof CounterName];

/** Collects the commands that result from one message. */
export class Outbox {
  private commands: CoreCommand[] = [];

  public constructor(private readonly addressOf: (server: string) => string | undefined) {}

  public push(command: CoreCommand): void {
    this.commands.push(command);
  }

  /** Sends a frame to a member. Returns false if its address is unknown. */
  public send(to: string, frame: CoreFrame): boolean {
    const address = this.addressOf(to);
    if (address === undefined) {
      return false;
    }
    this.commands.push({ address, frame, kind: 'send-frame', to });
    return true;
  }

  /**
   * Sends a frame to a server that sent one. If its address is still unknown, the frame goes over
   * the connection that it opened.
   */
  public reply(to: string, frame: CoreFrame): void {
    this.commands.push({ address: this.addressOf(to) ?? '', frame, kind: 'send-frame', to });
  }

  public count(counter: CounterName, labels: Readonly<Record<string, string>>): void {
    this.commands.push({ by: 1, counter, kind: 'count', labels });
  }

  public journal(requestId: string, step: AttemptStep): void {
    this.commands.push({ kind: 'journal', requestId, step });
  }

  public log(level: LogCommand['level'], event: string, fields: LogCommand['fields']): void {
    this.commands.push({ event, fields, kind: 'log', level });
  }

  /** Returns the collected commands and clears the outbox. */
  public take(): readonly CoreCommand[] {
    const { commands } = this;
    this.commands = [];
    return commands;
  }
}
