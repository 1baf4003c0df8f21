import type { KeyKnownCommand } from '../messages/core-command.js';
import type { KeyAnswerFrame, KeyQuestionFrame } from '../messages/frames.js';
import type { ClockReading } from '../shared/clock-reading.js';
import type { KeyedForwarderOptions } from './keyed-forwarder.js';

const answerLimitMilliseconds = 2_000;

export type InquiryCommand =
  | { readonly kind: 'ask'; readonly to: string; readonly frame: KeyQuestionFrame }
  | { readonly kind: 'need-table'; readonly service: string }
  | KeyKnownCommand;

interface Inquiry {
  readonly questionId: number;
  readonly callId: number;
  readonly service: string;
  readonly key: string;
  readonly endsAt: number;
  home: string | undefined;
}

/** Asks the homes of keys what they know of them. */
export class KeyInquiry {
  private readonly inquiries = new Map<number, Inquiry>();

  public constructor(private readonly options: KeyedForwarderOptions) {}

  public begin(
    question: Pick<Inquiry, 'key' | 'questionId' | 'service'>,
    now: ClockReading,
  ): InquiryCommand[] {
    const inquiry: Inquiry = {
      ...question,
      callId: this.options.nextCallId(),
      endsAt: now.monotonic + answerLimitMilliseconds,
      home: undefined,
    };
    this.inquiries.set(inquiry.callId, inquiry);
    return this.ask(inquiry);
  }

  public answered(from: string, { callId, state, status }: KeyAnswerFrame): InquiryCommand[] {
    const inquiry = this.inquiries.get(callId);
    if (inquiry?.home !== from) {
      return [];
    }
    return this.conclude(inquiry, state, status);
  }

  public get inProgress(): number {
    return this.inquiries.size;
  }

  /** Asks again where the table was missing, and ends questions without an answer. */
  public tick(now: ClockReading): InquiryCommand[] {
    const commands: InquiryCommand[] = [];
    for (const inquiry of [...this.inquiries.values()]) {
      if (now.monotonic >= inquiry.endsAt) {
        commands.push(...this.conclude(inquiry, undefined, undefined));
      } else if (inquiry.home === undefined) {
        commands.push(...this.ask(inquiry));
      }
    }
    return commands;
  }

  private ask(inquiry: Inquiry): InquiryCommand[] {
    const { callId, key, service } = inquiry;
    const home = this.options.table(service)?.ranges[this.options.rangeOf(key)];
    if (home === undefined) {
      return [{ kind: 'need-table', service }];
    }
    inquiry.home = home.server;
    return [
      { frame: { callId, key, kind: 'key-question', service }, kind: 'ask', to: home.server },
    ];
  }

  private conclude(
    { callId, home, questionId }: Inquiry,
    state: KeyKnownCommand['state'],
    status: number | undefined,
  ): InquiryCommand[] {
    this.inquiries.delete(callId);
    return [{ home, kind: 'key-known', questionId, state, status }];
  }
}
