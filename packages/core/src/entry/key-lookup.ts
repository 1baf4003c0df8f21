import type { KeyStateCommand } from '../messages/core-command.js';
import type { KeyAnswerFrame, KeyQuestionFrame } from '../messages/frames.js';
import type { ClockReading } from '../shared/clock-reading.js';
import type { KeyedForwarderOptions } from './keyed-forwarder.js';

const answerTimeoutMilliseconds = 2_000;

export type KeyLookupCommand =
  | { readonly kind: 'ask'; readonly to: string; readonly frame: KeyQuestionFrame }
  | { readonly kind: 'need-table'; readonly service: string }
  | KeyStateCommand;

interface PendingLookup {
  readonly questionId: number;
  readonly callId: number;
  readonly service: string;
  readonly key: string;
  readonly expiresAt: number;
  home: string | undefined;
}

/** Asks the homes of keys for the recorded state of the keys. */
export class KeyLookup {
  private readonly pendingLookups = new Map<number, PendingLookup>();

  public constructor(private readonly options: KeyedForwarderOptions) {}

  public begin(
    question: Pick<PendingLookup, 'key' | 'questionId' | 'service'>,
    now: ClockReading,
  ): KeyLookupCommand[] {
    const lookup: PendingLookup = {
      ...question,
      callId: this.options.nextCallId(),
      expiresAt: now.monotonic + answerTimeoutMilliseconds,
      home: undefined,
    };
    this.pendingLookups.set(lookup.callId, lookup);
    return this.ask(lookup);
  }

  public onAnswer(from: string, { callId, state, status }: KeyAnswerFrame): KeyLookupCommand[] {
    const lookup = this.pendingLookups.get(callId);
    if (lookup?.home !== from) {
      return [];
    }
    return this.conclude(lookup, state, status);
  }

  public get pendingCount(): number {
    return this.pendingLookups.size;
  }

  /** Retries lookups that lacked a home table, and concludes lookups whose time-out has passed. */
  public tick(now: ClockReading): KeyLookupCommand[] {
    const commands: KeyLookupCommand[] = [];
    for (const lookup of [...this.pendingLookups.values()]) {
      if (now.monotonic >= lookup.expiresAt) {
        commands.push(...this.conclude(lookup, undefined, undefined));
      } else if (lookup.home === undefined) {
        commands.push(...this.ask(lookup));
      }
    }
    return commands;
  }

  private ask(lookup: PendingLookup): KeyLookupCommand[] {
    const { callId, key, service } = lookup;
    const home = this.options.table(service)?.ranges[this.options.rangeOf(key)];
    if (home === undefined) {
      return [{ kind: 'need-table', service }];
    }
    lookup.home = home.server;
    return [
      { frame: { callId, key, kind: 'key-question', service }, kind: 'ask', to: home.server },
    ];
  }

  private conclude(
    { callId, home, questionId }: PendingLookup,
    state: KeyStateCommand['state'],
    status: number | undefined,
  ): KeyLookupCommand[] {
    this.pendingLookups.delete(callId);
    return [{ home, kind: 'key-known', questionId, state, status }];
  }
}
