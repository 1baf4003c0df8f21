import type { AttemptStep } from '../messages/core-command.js';
import type { CallFrame } from '../messages/frames.js';
import type { LoadReport } from '../messages/load-report.js';

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

/** The journal's step for what a gate said about an attempt. */
export function stepOf(server: string, frame: CallFrame): AttemptStep | undefined {
  const load = loadOf(frame);
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
