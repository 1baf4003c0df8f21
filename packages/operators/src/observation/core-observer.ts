import {
  RequestClass,
  type CallerRequestMessage,
  type ClockReading,
  type CoreCommand,
  type CoreMessage,
  type KeyedOutcome,
  type PeerFrame,
  type ReplyToCallerCommand,
  type RequestHead,
  type RunUpstreamCommand,
  type UpstreamResult,
} from '@peridotspring/core';

import { dropOldest } from './bounded-map.js';
import type { Metrics } from './metrics.js';
import type { RefusalHistory } from './refusal-history.js';
import type { RequestJournal, RequestStep } from './request-journal.js';

/** Requests, attempts and executions that are followed at once; more than a node has in progress. */
export const followedBound = 20_000;

const unknownServices = '(unknown)';

/** What an observer feeds. */
export interface ObserverParts {
  readonly journal: RequestJournal;
  readonly refusals: RefusalHistory;
  readonly metrics: Metrics;
  /** Name of this node's server. */
  readonly server: string;
}

interface OpenRequest {
  readonly requestId: string;
  readonly service: string;
  /** Monotonic time of receipt. */
  readonly startedAt: number;
}

/**
 * Follows the messages to the core and the commands from it, and records every request with its
 * attempts. The driver calls it with each message before the core, and with each command. Refusals
 * that the callers' server makes before the core sees a request are recorded by the driver.
 *
 * A refusal by the gate of this very node reaches neither a message nor a command; it shows only in
 * the conclusion.
 */
export class CoreObserver {
  private readonly requests = new Map<number, OpenRequest>();
  /** Request identifiers by server and call identifier. */
  private readonly attempts = new Map<string, string>();
  private readonly executions = new Map<number, string>();

  public constructor(private readonly parts: ObserverParts) {}

  /** Takes a message that the core is about to handle. */
  public message(message: CoreMessage, now: ClockReading): void {
    if (message.kind === 'peer-frame') this.frameFrom(message.from, message.frame, now);
    else if (message.kind === 'caller-request') this.callerRequest(message, now);
    else if (message.kind === 'caller-gone') this.callerGone(message.requestNumber, now);
    else if (message.kind === 'peer-lost') this.peerLost(message.server, now);
    else if (message.kind === 'upstream-result') {
      this.executionEnded(message.executionId, message.result, now);
    }
  }

  /** Takes a command of the core. Counters and log lines are not its concern. */
  public command(command: CoreCommand, now: ClockReading): void {
    if (command.kind === 'send-frame') this.frameTo(command.to, command.frame, now);
    else if (command.kind === 'run-upstream') this.runUpstream(command, now);
    else if (command.kind === 'reply-to-caller') this.reply(command, now);
  }

  private callerRequest(message: CallerRequestMessage, now: ClockReading): void {
    const { deadlineMilliseconds, head, requestClass, requestNumber } = message;
    const { requestId, service } = head;
    this.requests.set(requestNumber, { requestId, service, startedAt: now.monotonic });
    dropOldest(this.requests, followedBound);
    this.received(head, requestClass, deadlineMilliseconds, now);
  }

  private runUpstream({ executionId, head }: RunUpstreamCommand, now: ClockReading): void {
    this.executions.set(executionId, head.requestId);
    dropOldest(this.executions, followedBound);
    const step = { kind: 'sent', role: 'gate', server: this.parts.server } as const;
    this.record(head.requestId, step, now);
  }

  private reply({ outcome, requestNumber }: ReplyToCallerCommand, now: ClockReading): void {
    const request = this.requests.get(requestNumber);
    if (request === undefined) return;
    this.requests.delete(requestNumber);
    const { metrics, refusals } = this.parts;
    this.record(request.requestId, { kind: 'concluded', outcome }, now);
    // A caller could fill the bounded series with paths of services that don't exist.
    const isUnknown = outcome.kind !== 'answered' && outcome.reason === 'unknown-service';
    const service = isUnknown ? unknownServices : request.service;
    refusals.record(service, outcome, now.wall);
    metrics.recordLatency(service, outcome.kind, now.monotonic - request.startedAt);
  }

  private record(requestId: string, step: RequestStep, now: ClockReading): void {
    this.parts.journal.record(requestId, step, now.wall);
  }

  private received(
    head: RequestHead,
    requestClass: RequestClass,
    deadlineMilliseconds: number,
    now: ClockReading,
  ): void {
    const { method, requestId, service, tenant } = head;
    this.record(
      requestId,
      { deadlineMilliseconds, kind: 'received', method, requestClass, service, tenant },
      now,
    );
  }

  private callerGone(requestNumber: number, now: ClockReading): void {
    const request = this.requests.get(requestNumber);
    if (request === undefined) return;
    this.requests.delete(requestNumber);
    const step = { detail: 'the caller went away', kind: 'cancelled', server: undefined } as const;
    this.record(request.requestId, step, now);
  }

  private frameTo(to: string, frame: PeerFrame, now: ClockReading): void {
    if (frame.kind === 'request-start' || frame.kind === 'keyed-request') {
      const { requestId } = frame.head;
      this.attempts.set(attemptKey(to, frame.callId), requestId);
      dropOldest(this.attempts, followedBound);
      const role = frame.kind === 'keyed-request' ? 'home' : 'gate';
      this.record(requestId, { kind: 'sent', role, server: to }, now);
    } else if (frame.kind === 'request-cancel') {
      const detail = 'the answer is no longer wanted';
      this.attemptEnded(to, frame.callId, { detail, kind: 'cancelled', server: to }, now);
    }
  }

  private frameFrom(from: string, frame: PeerFrame, now: ClockReading): void {
    if (frame.kind === 'keyed-request') {
      // This node is the home: it keeps the attempts, the entry only what it was told.
      this.received(frame.head, RequestClass.NonIdempotent, frame.remainingMilliseconds, now);
      return;
    }
    const step = stepOfFrame(from, frame);
    if (step !== undefined && 'callId' in frame) {
      this.attemptEnded(from, frame.callId, step, now);
    }
  }

  private attemptEnded(server: string, callId: number, step: RequestStep, now: ClockReading): void {
    const key = attemptKey(server, callId);
    const requestId = this.attempts.get(key);
    if (requestId === undefined) return;
    this.attempts.delete(key);
    this.record(requestId, step, now);
  }

  private peerLost(server: string, now: ClockReading): void {
    const prefix = attemptKey(server, '');
    for (const [key, requestId] of this.attempts) {
      if (!key.startsWith(prefix)) continue;
      this.attempts.delete(key);
      this.record(requestId, { detail: 'connection lost', kind: 'failed', server }, now);
    }
  }

  private executionEnded(executionId: number, result: UpstreamResult, now: ClockReading): void {
    const requestId = this.executions.get(executionId);
    if (requestId === undefined) return;
    this.executions.delete(executionId);
    const { server } = this.parts;
    const step: RequestStep =
      result.kind === 'answered'
        ? { kind: 'answered', server, status: result.status }
        : {
            detail:
              result.kind === 'failed' ? result.detail : 'the upstream refused the connection',
            kind: 'failed',
            server,
          };
    this.record(requestId, step, now);
  }
}

/** A line break can't be part of a server's name, so no two pairs share a key. */
function attemptKey(server: string, callId: number | ''): string {
  return `${server}\n${callId}`;
}

/** The end of an attempt that a frame reports; undefined for every other frame. */
function stepOfFrame(server: string, frame: PeerFrame): RequestStep | undefined {
  if (frame.kind === 'answer') {
    return { kind: 'answered', load: frame.load, server, status: frame.status };
  }
  if (frame.kind === 'request-refused') {
    const { load, reason } = frame.refusal;
    return { kind: 'refused', load, reason, server };
  }
  if (frame.kind === 'request-failed') {
    return { detail: frame.detail, kind: 'failed', load: frame.load, server };
  }
  return frame.kind === 'keyed-outcome' ? stepOfOutcome(server, frame.outcome) : undefined;
}

function stepOfOutcome(server: string, outcome: KeyedOutcome): RequestStep {
  switch (outcome.kind) {
    case 'answered':
      return { kind: 'answered', server, status: outcome.status };
    case 'refused-not-run':
      return { kind: 'refused', reason: outcome.reason, server };
    case 'outcome-unknown':
      return { detail: outcome.reason, kind: 'failed', server };
    case 'not-home':
      return { detail: 'not the home of the key', kind: 'failed', server };
  }
}
