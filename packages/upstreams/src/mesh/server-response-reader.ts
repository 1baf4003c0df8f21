import type { IncomingMessage } from 'node:http';

import type { HeaderList, ResponseHead, ServerLoad, ServerNotice } from '@peridotspring/mesh-core';

/** Names (in lower case) and encoding of the header fields between the gate and its server. */
export interface ServerHeaderCodec {
  readonly requestId: string;
  readonly deadline: string;
  readonly expectedInstance: string;
  readonly callerService: string;
  /** Name of the tenant on whose behalf a request is made. */
  readonly tenant: string;
  /** Present on every answer that the server itself produced. */
  readonly signature: string;
  /** Present on responses to requests that the server did not execute. */
  readonly notExecuted: string;
  readonly instanceId: string;
  readonly load: string;
  /** How long the server stays cold; on responses to health checks. */
  readonly coldRemaining: string;
  /** Requests per second that the server takes from all nodes together; on all responses of a server in need. */
  readonly requestLimit: string;
  /** On all responses of a server that leaves. */
  readonly leaving: string;
  parseLoad(value: string): ServerLoad | undefined;
  /** In milliseconds; undefined if the value is invalid. */
  parseColdTime(value: string): number | undefined;
  /** In requests per second; undefined if the value is invalid. */
  parseRequestLimit(value: string): number | undefined;
  /** Whether the value states that the server leaves. */
  parseLeaving(value: string): boolean;
}

/** Reads what the header of a response states about the server and the request. */
export class ServerResponseReader {
  public constructor(private readonly codec: ServerHeaderCodec) {}

  public requestId(response: IncomingMessage): string | undefined {
    return firstHeaderValue(response, this.codec.requestId);
  }

  public instanceId(response: IncomingMessage): string | undefined {
    return firstHeaderValue(response, this.codec.instanceId);
  }

  /** `forwardedFields` are the header fields that the caller gets, so a signature among the others does not count. */
  public head(response: IncomingMessage, forwardedFields: HeaderList): ResponseHead {
    const signatures = forwardedFields.filter(([name]) => name === this.codec.signature);
    return {
      isEncoded: response.headers['content-encoding'] !== undefined,
      isSigned: signatures.length === 1 && signatures[0]?.[1] !== '',
      statesNotExecuted: firstHeaderValue(response, this.codec.notExecuted) !== undefined,
      status: response.statusCode ?? 0,
    };
  }

  public load(response: IncomingMessage): ServerLoad | undefined {
    const value = firstHeaderValue(response, this.codec.load);
    return value === undefined ? undefined : this.codec.parseLoad(value);
  }

  public notice(response: IncomingMessage, instanceId: string): ServerNotice {
    const { codec } = this;
    const limit = firstHeaderValue(response, codec.requestLimit);
    const requestsPerSecond = limit === undefined ? Infinity : codec.parseRequestLimit(limit);
    const leaving = firstHeaderValue(response, codec.leaving);
    const isLeaving = leaving !== undefined && codec.parseLeaving(leaving);
    return { instanceId, isLeaving, requestsPerSecond };
  }

  /** A healthy server that is not cold may send no value. A rejected check without one shows nothing. */
  public coldTime(response: IncomingMessage): number | undefined {
    const value = firstHeaderValue(response, this.codec.coldRemaining);
    if (value !== undefined) return this.codec.parseColdTime(value);
    return response.statusCode === 200 ? 0 : undefined;
  }
}

function firstHeaderValue(response: IncomingMessage, name: string): string | undefined {
  const value = response.headers[name];
  return Array.isArray(value) ? value[0] : value;
}
