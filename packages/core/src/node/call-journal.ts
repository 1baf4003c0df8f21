import type { AttemptStep } from '../messages/core-command.js';
import type { CallFrame } from '../messages/frames.js';
import type { LoadReport } from '../messages/load-report.js';

/** Returns the load report carried by a gate's frame, if any. */
export function loadReportOf(frame: CallFrame): LoadReport | undefined {
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

/** Returns the journal step for a gate's frame about an attempt; undefined if the frame has none. */
export function journalStepOf(server: string, frame: CallFrame): AttemptStep | undefined {
  const load = loadReportOf(frame);
  switch (frame.kind) {
    case 'request-refused':
      return { kind: 'refused', load, reason: frame.refusal.reason, server };
    case 'request-failed':
      return { detail: frame.detail, kind: 'failed', load, server };
    case 'answer':
      return { kind: 'answered', load, server, status: frame.status };
    default:
      return undefined;
  }
}
