import { DeclineReason } from '../messages/mesh-frames.js';
import type { GateLoad, ReplyFrame } from '../messages/mesh-frames.js';
import type { ExecutionResult } from './gate-contract.js';

/** The reply to a call whose request has ended at the server. */
export function toReplyFrame(callId: number, result: ExecutionResult, load: GateLoad): ReplyFrame {
  switch (result.kind) {
    case 'answered': {
      const { body, headers, status } = result;
      return { body, callId, headers, kind: 'answered', load, status };
    }
    case 'failed':
      return { callId, detail: result.detail, kind: 'failed', load };
    case 'not-run':
      return { callId, expectedMilliseconds: 0, kind: 'declined', load, reason: result.reason };
  }
}

/** Whether there was no valid response, as from a server that has ended or restarted. */
export function hasNoResponse(result: ExecutionResult): boolean {
  if (result.kind === 'not-run') return result.reason === DeclineReason.ServerUnreachable;
  return result.kind === 'failed';
}
