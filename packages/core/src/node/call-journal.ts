import { JournalEvent } from '../messages/core-command.js';
import type { CallFrame, RequestHead } from '../messages/frames.js';
import type { LoadReport } from '../messages/load-report.js';
import type { Outbox } from './outbox.js';

/** The load report that a frame about a call carries. */
export function loadOf(frame: CallFrame): LoadReport | undefined {
  switch (frame.kind) {
    case 'answer':
    case 'request-failed':
      return frame.load;
    case 'request-refused':
      return frame.refusal.load;
    default:
      return undefined;
  }
}

/** Writes the steps of calls to the journal that operators ask. */
export class CallJournal {
  public constructor(private readonly outbox: Outbox) {}

  /** Records what a gate said about an attempt. */
  public frame(head: RequestHead, server: string, frame: CallFrame): void {
    const load = loadOf(frame);
    switch (frame.kind) {
      case 'request-refused':
        this.record(head, JournalEvent.Refused, server, frame.refusal.reason, load);
        return;
      case 'request-failed':
        this.record(head, JournalEvent.Failed, server, frame.detail, load);
        return;
      case 'answer':
        this.record(head, JournalEvent.Answered, server, String(frame.status), load);
        return;
      default:
    }
  }

  public record(
    head: RequestHead,
    event: JournalEvent,
    server: string | undefined,
    reason: string | undefined,
    load?: LoadReport,
  ): void {
    const { requestId, service, tenant } = head;
    this.outbox.journal({ event, load, reason, requestId, server, service, tenant });
  }
}
