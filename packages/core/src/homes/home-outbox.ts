import type { HomeFrame, KeyAnswerFrame, KeyedOutcome } from '../messages/frames.js';
import type { RefusalReason, UnknownReason } from '../messages/outcome.js';
import type { StoreOperation } from '../messages/store.js';
import type { HomeCommand, RunKeyedCommand } from './home-contract.js';

/** The sender of a keyed request that has not been replied to, and the call it used. */
export interface Waiter {
  readonly from: string;
  readonly callId: number;
}

/**
 * Collects the commands that result from one call into the home manager, and allocates identifiers.
 */
export class HomeOutbox {
  private commands: HomeCommand[] = [];
  private lastIdentifier = 0;

  /** Returns an identifier that is unique until the process ends. */
  public nextIdentifier(): number {
    this.lastIdentifier += 1;
    return this.lastIdentifier;
  }

  public send(to: string, frame: HomeFrame | KeyAnswerFrame): void {
    this.commands.push({ frame, kind: 'send', to });
  }

  public store(operation: StoreOperation): number {
    const operationId = this.nextIdentifier();
    this.commands.push({ kind: 'store', operation, operationId });
    return operationId;
  }

  public runKeyed(command: Omit<RunKeyedCommand, 'kind'>): void {
    this.commands.push({ kind: 'run-keyed', ...command });
  }

  public reply(to: Waiter, outcome: KeyedOutcome): void {
    this.commands.push({ callId: to.callId, kind: 'keyed-reply', outcome, to: to.from });
  }

  /** Replies that the request was not run, and counts the reason. */
  public refuse(to: Waiter, reason: RefusalReason, retryAfterMilliseconds?: number): void {
    this.count('home_refusals', { reason });
    this.reply(to, { kind: 'refused-not-run', reason, retryAfterMilliseconds });
  }

  /** Replies that the outcome is unknown, and counts the reason. */
  public replyUnknown(
    to: Waiter,
    reason: UnknownReason,
    attemptStarted: boolean,
    retryAfterMilliseconds?: number,
  ): void {
    this.count('home_unknown_outcomes', { reason });
    this.reply(to, { attemptStarted, kind: 'outcome-unknown', reason, retryAfterMilliseconds });
  }

  public count(counter: string, labels: Readonly<Record<string, string>>): void {
    this.commands.push({ by: 1, counter, kind: 'count', labels });
  }

  public log(event: string, fields: Readonly<Record<string, string | number | boolean>>): void {
    this.commands.push({ event, fields, kind: 'log', level: 'info' });
  }

  /** Removes and returns the collected commands. */
  public takeCommands(): HomeCommand[] {
    const taken = this.commands;
    this.commands = [];
    return taken;
  }
}
