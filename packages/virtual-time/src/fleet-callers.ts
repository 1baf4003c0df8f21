import { RequestClass, nextInteger } from '@peridotspring/core';
import type { RandomSource, ReplyToCallerCommand } from '@peridotspring/core';

import type { FleetLog, RequestBodyEntry, RequestEntry } from './fleet-log.js';
import type { FleetNode } from './fleet-node.js';
import { keyHeader } from './fleet-upstream.js';

const tenants = ['north', 'south'];

/** What callers need from the fleet. */
export interface FleetCallersOptions {
  readonly random: RandomSource;
  readonly log: FleetLog;
  readonly now: () => number;
}

/** How a caller sends a request. */
export interface SendOptions {
  readonly service: string;
  /** Present for a non-idempotent request. */
  readonly key?: string | undefined;
  readonly deadlineMilliseconds?: number | undefined;
  /** Pieces of a body that is streamed; without them the body is held whole. */
  readonly bodyChunks?: number | undefined;
}

interface OpenRequest {
  readonly node: FleetNode;
  readonly requestNumber: number;
  readonly entry: RequestEntry;
}

/** Callers that send requests to any node and log what they are told. */
export class FleetCallers {
  private readonly open = new Map<string, OpenRequest>();
  private nextNumber = 1;

  public constructor(private readonly options: FleetCallersOptions) {}

  /** A UUIDv7 that was made at the given wall time. */
  public createKey(wallMilliseconds: number): string {
    const { random } = this.options;
    const time = Math.floor(wallMilliseconds).toString(16).padStart(12, '0');
    const digits = Array.from({ length: 18 }, () => nextInteger(random, 16).toString(16)).join('');
    const tail = `7${digits.slice(0, 3)}-8${digits.slice(3, 6)}-${digits.slice(6)}`;
    return `${time.slice(0, 8)}-${time.slice(8)}-${tail}`;
  }

  /** Sends a request. One to an entry that is down is refused by its machine and not logged. */
  public send(
    node: FleetNode,
    { bodyChunks, deadlineMilliseconds = 2_000, key, service }: SendOptions,
  ): RequestEntry | undefined {
    if (!node.isRunning) return undefined;
    const { log, now, random } = this.options;
    const requestNumber = this.nextNumber;
    this.nextNumber += 1;
    const entry: RequestEntry = {
      abandonedAt: undefined,
      answers: [],
      body: bodyChunks === undefined ? undefined : { chunks: bodyChunks, state: 'sending' },
      brokenAt: undefined,
      deadlineAt: now() + deadlineMilliseconds,
      entry: node.server,
      key,
      requestId: `request-${requestNumber}`,
      sentAt: now(),
      service,
    };
    log.requests.push(entry);
    this.open.set(openKey(node, requestNumber), { entry, node, requestNumber });
    node.deliver({
      body: bodyChunks === undefined ? new Uint8Array([1]) : undefined,
      deadlineMilliseconds,
      digest: key === undefined ? undefined : 'digest',
      head: {
        depth: 0,
        headers: key === undefined ? {} : { [keyHeader]: key },
        method: key === undefined ? 'GET' : 'POST',
        path: '/',
        requestId: entry.requestId,
        service,
        tenant: tenants[nextInteger(random, tenants.length)] ?? 'north',
      },
      key,
      kind: 'caller-request',
      requestClass: key === undefined ? RequestClass.Idempotent : RequestClass.NonIdempotent,
      requestNumber,
      streamedBody: bodyChunks !== undefined,
    });
    return entry;
  }

  /** The streamed body of a request. */
  public body(node: FleetNode, requestNumber: number): RequestBodyEntry | undefined {
    return this.open.get(openKey(node, requestNumber))?.entry.body;
  }

  public replied(node: FleetNode, { body, outcome, requestNumber }: ReplyToCallerCommand): void {
    const open = this.open.get(openKey(node, requestNumber));
    // A request stays open after its answer, so that a second answer is seen.
    open?.entry.answers.push({
      at: this.options.now(),
      body: body === undefined ? undefined : new TextDecoder().decode(body),
      outcome,
      sentBody: open.entry.body?.state,
    });
  }

  /** The caller closes the connection of a request that has no answer yet. */
  public abandon(request: RequestEntry): void {
    if (!isWaiting(request)) return;
    for (const { entry, node, requestNumber } of this.open.values()) {
      if (entry !== request) continue;
      entry.abandonedAt = this.options.now();
      cutBody(entry);
      node.deliver({ kind: 'caller-gone', requestNumber });
    }
  }

  /** The process ended: the connections of its callers break. */
  public ended(node: FleetNode): void {
    for (const [name, { entry, node: other }] of this.open) {
      if (other !== node) continue;
      this.open.delete(name);
      cutBody(entry);
      if (isWaiting(entry)) entry.brokenAt = this.options.now();
    }
  }
}

/** A caller that went away, or whose entry did, sends nothing more of its body. */
function cutBody({ body }: RequestEntry): void {
  if (body?.state === 'sending') body.state = 'cut';
}

/** Whether the caller still waits for its answer. */
export function isWaiting({ abandonedAt, answers, brokenAt }: RequestEntry): boolean {
  return answers.length === 0 && abandonedAt === undefined && brokenAt === undefined;
}

function openKey(node: FleetNode, requestNumber: number): string {
  return `${node.life} ${requestNumber}`;
}
