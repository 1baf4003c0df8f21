import type { KeyedOutcome, KeyedRequestFrame, RequestHead } from '../messages/frames.js';
import type { HomeTable } from '../messages/home-table.js';
import type { UnknownReason } from '../messages/outcome.js';
import type { ClockReading } from '../shared/clock-reading.js';

/** A node that follows more than this many changes of the home answers outcome-unknown. */
const maximumHops = 4;
/** How long a request waits for the home table of a service that this node has not used yet. */
const tableWaitMilliseconds = 1_000;
const retryAfterMilliseconds = 1_000;
/** Time until a home that could not take a request is tried again if no newer table came. */
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

/** Why the home that a table named did not take a request. */
interface HomeFailure {
  readonly home: string;
  readonly version: number;
  readonly reason: UnknownReason;
  /** Monotonic time. */
  readonly retryAt: number;
}

interface Forwarded {
  readonly request: KeyedRequest;
  readonly callId: number;
  hops: number;
  /** The home that holds the request now; undefined while the table is awaited. */
  home: string | undefined;
  /** The last home that did not take it. */
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
  private readonly forwarded = new Map<number, Forwarded>();

  public constructor(private readonly options: KeyedForwarderOptions) {}

  public get inProgress(): number {
    return this.forwarded.size;
  }

  public begin(request: KeyedRequest, now: ClockReading): ForwarderCommand[] {
    const entry: Forwarded = {
      callId: this.options.nextCallId(),
      failure: undefined,
      home: undefined,
      hops: 0,
      request,
      waitingSince: now.monotonic,
    };
    this.forwarded.set(entry.callId, entry);
    return this.send(entry, now);
  }

  /** The home's word on a request. */
  public outcome(
    from: string,
    callId: number,
    outcome: KeyedOutcome,
    now: ClockReading,
  ): ForwarderCommand[] {
    const entry = this.forwarded.get(callId);
    if (entry?.home !== from) {
      return [];
    }
    if (outcome.kind !== 'not-home') {
      return this.conclude(entry, outcome);
    }
    return this.tryAgain(entry, 'no-home', now);
  }

  /** Services whose table is awaited by a request. */
  public waitingServices(): ReadonlySet<string> {
    const services = new Set<string>();
    for (const entry of this.forwarded.values()) {
      if (entry.home === undefined) {
        services.add(entry.request.head.service);
      }
    }
    return services;
  }

  /** The frame to the home never left this node. */
  public notSent(callId: number, now: ClockReading): ForwarderCommand[] {
    const entry = this.forwarded.get(callId);
    return entry === undefined ? [] : this.tryAgain(entry, 'home-unreachable', now);
  }

  /** A home can't be asked any more whether it started a request. */
  public peerLost(server: string): ForwarderCommand[] {
    const commands: ForwarderCommand[] = [];
    for (const entry of [...this.forwarded.values()]) {
      if (entry.home === server) {
        commands.push(...this.unknown(entry, 'connection-lost', true));
      }
    }
    return commands;
  }

  /** A newer table of a service arrived. */
  public tableChanged(service: string, now: ClockReading): ForwarderCommand[] {
    const commands: ForwarderCommand[] = [];
    for (const entry of [...this.forwarded.values()]) {
      if (entry.home === undefined && entry.request.head.service === service) {
        commands.push(...this.send(entry, now));
      }
    }
    return commands;
  }

  /** The caller went away; the home still finishes the request and keeps its record. */
  public abandon(requestNumber: number): void {
    for (const entry of this.forwarded.values()) {
      if (entry.request.requestNumber === requestNumber) {
        this.forwarded.delete(entry.callId);
        return;
      }
    }
  }

  public tick(now: ClockReading): ForwarderCommand[] {
    const commands: ForwarderCommand[] = [];
    for (const entry of [...this.forwarded.values()]) {
      const isWaiting = entry.home === undefined;
      if (now.monotonic >= entry.request.deadline) {
        commands.push(
          ...(isWaiting
            ? this.unknown(entry, entry.failure?.reason ?? 'no-home', false)
            : this.unknown(entry, 'deadline-after-start', true)),
        );
      } else if (isWaiting && now.monotonic - entry.waitingSince >= tableWaitMilliseconds) {
        commands.push(...this.unknown(entry, entry.failure?.reason ?? 'no-home', false));
      }
    }
    return commands;
  }

  /** Nothing was started, so the request may go to the home that a newer table names. */
  private tryAgain(entry: Forwarded, reason: UnknownReason, now: ClockReading): ForwarderCommand[] {
    const { home, request } = entry;
    if (home === undefined) {
      return [];
    }
    const version = this.options.table(request.head.service)?.version ?? 0;
    const retryAt = now.monotonic + sameHomeRetryMilliseconds;
    entry.failure = { home, reason, retryAt, version };
    entry.home = undefined;
    entry.hops += 1;
    entry.waitingSince = now.monotonic;
    return entry.hops > maximumHops ? this.unknown(entry, reason, false) : this.send(entry, now);
  }

  private send(entry: Forwarded, now: ClockReading): ForwarderCommand[] {
    const { failure, request } = entry;
    const table = this.options.table(request.head.service);
    const home = table?.ranges[this.options.rangeOf(request.key)];
    const hasJustFailed =
      failure?.home === home?.server &&
      failure?.version === table?.version &&
      now.monotonic < (failure?.retryAt ?? 0);
    if (home === undefined || hasJustFailed) {
      return [{ kind: 'need-table', service: request.head.service }];
    }
    entry.home = home.server;
    return [
      {
        frame: {
          body: request.body,
          callId: entry.callId,
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

  private unknown(
    entry: Forwarded,
    reason: UnknownReason,
    attemptStarted: boolean,
  ): ForwarderCommand[] {
    return this.conclude(entry, {
      attemptStarted,
      kind: 'outcome-unknown',
      reason,
      retryAfterMilliseconds,
    });
  }

  private conclude(
    entry: Forwarded,
    outcome: Exclude<KeyedOutcome, { readonly kind: 'not-home' }>,
  ): ForwarderCommand[] {
    this.forwarded.delete(entry.callId);
    return [{ kind: 'conclude', outcome, requestNumber: entry.request.requestNumber }];
  }
}
