import type { KeyedOutcome, KeyedRequestFrame, RequestHead } from '../messages/frames.js';
import type { HomeTable } from '../messages/home-table.js';
import type { UnknownReason } from '../messages/outcome.js';
import type { ClockReading } from '../shared/clock-reading.js';

/** After more failed sends to a home than this, the caller is answered outcome-unknown. */
const maximumHops = 4;
/**
 * How long a request waits for a home table, for example of a service that this node has not used
 * yet.
 */
const tableWaitMilliseconds = 1_000;
const retryAfterMilliseconds = 1_000;
/** Time after which a home that did not accept a request is tried again if no newer table arrived. */
const sameHomeRetryMilliseconds = 200;

/** A keyed request of one of this node's callers. */
export interface KeyedRequest {
  readonly requestNumber: number;
  readonly head: RequestHead;
  readonly key: string;
  readonly digest: string;
  readonly body: Uint8Array;
  /** Wall time at which this node received it. */
  readonly receivedAt: number;
  /** Monotonic time by which the outcome is due. */
  readonly deadline: number;
}

export type ForwarderCommand =
  | { readonly kind: 'forward'; readonly to: string; readonly frame: KeyedRequestFrame }
  | { readonly kind: 'need-table'; readonly service: string }
  | {
      readonly kind: 'conclude';
      readonly requestNumber: number;
      readonly outcome: Exclude<KeyedOutcome, { readonly kind: 'not-home' }>;
    };

/** Why the home that a table named did not accept a request. */
interface HomeFailure {
  readonly home: string;
  readonly version: number;
  readonly reason: UnknownReason;
  /** Monotonic time at which the same home may be tried again. */
  readonly retryAt: number;
}

interface PendingRequest {
  readonly request: KeyedRequest;
  readonly callId: number;
  hops: number;
  /** The home that the request was sent to; undefined while waiting for a table. */
  home: string | undefined;
  /** The last home that did not accept the request. */
  failure: HomeFailure | undefined;
  waitingSince: number;
}

export interface KeyedForwarderOptions {
  readonly rangeOf: (key: string) => number;
  readonly table: (service: string) => HomeTable | undefined;
  readonly nextCallId: () => number;
}

/** Sends keyed requests to the home of their key and follows the home when it moves. */
export class KeyedForwarder {
  private readonly pendingRequests = new Map<number, PendingRequest>();

  public constructor(private readonly options: KeyedForwarderOptions) {}

  public get inProgress(): number {
    return this.pendingRequests.size;
  }

  public begin(request: KeyedRequest, now: ClockReading): ForwarderCommand[] {
    const pending: PendingRequest = {
      callId: this.options.nextCallId(),
      failure: undefined,
      home: undefined,
      hops: 0,
      request,
      waitingSince: now.monotonic,
    };
    this.pendingRequests.set(pending.callId, pending);
    return this.send(pending, now);
  }

  /** Handles the outcome of a request that the home reported. */
  public onOutcome(
    from: string,
    callId: number,
    outcome: KeyedOutcome,
    now: ClockReading,
  ): ForwarderCommand[] {
    const pending = this.pendingRequests.get(callId);
    if (pending?.home !== from) {
      return [];
    }
    if (outcome.kind !== 'not-home') {
      return this.conclude(pending, outcome);
    }
    return this.resend(pending, 'no-home', now);
  }

  /** Services whose home table a request is waiting for. */
  public waitingServices(): ReadonlySet<string> {
    const services = new Set<string>();
    for (const pending of this.pendingRequests.values()) {
      if (pending.home === undefined) {
        services.add(pending.request.head.service);
      }
    }
    return services;
  }

  /** The frame to the home could not be sent. */
  public onNotSent(callId: number, now: ClockReading): ForwarderCommand[] {
    const pending = this.pendingRequests.get(callId);
    return pending === undefined ? [] : this.resend(pending, 'home-unreachable', now);
  }

  /** The connection to a home was lost, so it is unknown whether the home started its requests. */
  public onPeerLost(server: string): ForwarderCommand[] {
    const commands: ForwarderCommand[] = [];
    for (const pending of [...this.pendingRequests.values()]) {
      if (pending.home === server) {
        commands.push(...this.concludeUnknown(pending, 'connection-lost', true));
      }
    }
    return commands;
  }

  /** A newer home table of a service arrived. */
  public onTableChanged(service: string, now: ClockReading): ForwarderCommand[] {
    const commands: ForwarderCommand[] = [];
    for (const pending of [...this.pendingRequests.values()]) {
      if (pending.home === undefined && pending.request.head.service === service) {
        commands.push(...this.send(pending, now));
      }
    }
    return commands;
  }

  /** The caller disconnected; the home still completes the request and keeps its record. */
  public abandon(requestNumber: number): void {
    for (const pending of this.pendingRequests.values()) {
      if (pending.request.requestNumber === requestNumber) {
        this.pendingRequests.delete(pending.callId);
        return;
      }
    }
  }

  public tick(now: ClockReading): ForwarderCommand[] {
    const commands: ForwarderCommand[] = [];
    for (const pending of [...this.pendingRequests.values()]) {
      const isWaiting = pending.home === undefined;
      if (now.monotonic >= pending.request.deadline) {
        commands.push(
          ...(isWaiting
            ? this.concludeUnknown(pending, pending.failure?.reason ?? 'no-home', false)
            : this.concludeUnknown(pending, 'deadline-after-start', true)),
        );
      } else if (isWaiting && now.monotonic - pending.waitingSince >= tableWaitMilliseconds) {
        commands.push(
          ...this.concludeUnknown(pending, pending.failure?.reason ?? 'no-home', false),
        );
      }
    }
    return commands;
  }

  /** The home didn't start the request, so it may be sent again, to the home in the newest table. */
  private resend(
    pending: PendingRequest,
    reason: UnknownReason,
    now: ClockReading,
  ): ForwarderCommand[] {
    const { home, request } = pending;
    if (home === undefined) {
      return [];
    }
    const version = this.options.table(request.head.service)?.version ?? 0;
    const retryAt = now.monotonic + sameHomeRetryMilliseconds;
    pending.failure = { home, reason, retryAt, version };
    pending.home = undefined;
    pending.hops += 1;
    pending.waitingSince = now.monotonic;
    return pending.hops > maximumHops
      ? this.concludeUnknown(pending, reason, false)
      : this.send(pending, now);
  }

  private send(pending: PendingRequest, now: ClockReading): ForwarderCommand[] {
    const { failure, request } = pending;
    const table = this.options.table(request.head.service);
    const home = table?.ranges[this.options.rangeOf(request.key)];
    const hasJustFailed =
      failure?.home === home?.server &&
      failure?.version === table?.version &&
      now.monotonic < (failure?.retryAt ?? 0);
    if (home === undefined || hasJustFailed) {
      return [{ kind: 'need-table', service: request.head.service }];
    }
    pending.home = home.server;
    return [
      {
        frame: {
          body: request.body,
          callId: pending.callId,
          digest: request.digest,
          head: request.head,
          key: request.key,
          kind: 'keyed-request',
          receivedAt: request.receivedAt,
          remainingMilliseconds: Math.max(1, request.deadline - now.monotonic),
        },
        kind: 'forward',
        to: home.server,
      },
    ];
  }

  private concludeUnknown(
    pending: PendingRequest,
    reason: UnknownReason,
    attemptStarted: boolean,
  ): ForwarderCommand[] {
    return this.conclude(pending, {
      attemptStarted,
      kind: 'outcome-unknown',
      reason,
      retryAfterMilliseconds,
    });
  }

  private conclude(
    pending: PendingRequest,
    outcome: Exclude<KeyedOutcome, { readonly kind: 'not-home' }>,
  ): ForwarderCommand[] {
    this.pendingRequests.delete(pending.callId);
    return [{ kind: 'conclude', outcome, requestNumber: pending.request.requestNumber }];
  }
}
