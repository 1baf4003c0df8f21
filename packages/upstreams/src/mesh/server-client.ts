import { request as httpRequest } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

import { containError } from '@peridotspring/core';
import {
  DeclineReason,
  endToEndHeaders,
  judgeResponse,
  toOutgoingHeaders,
} from '@peridotspring/mesh-core';
import type {
  Execution,
  ExecutionResult,
  HeaderList,
  ResponseHead,
  ServerLoad,
  ServerNotice,
} from '@peridotspring/mesh-core';

import { ResponseCollector } from '../response-collector.js';
import type { CollectedResponse } from '../response-collector.js';
import { limitInterimResponses } from '../interim-responses.js';
import { BodyEnd, findBodyEnd } from '../response-framing.js';
import { isConnectionRefused } from './listener-check.js';
import { ResponseMemoryLimiter } from './response-memory-limiter.js';
import { ServerAgent } from './server-agent.js';

/** Limit for a whole health check, including the response body. */
const healthTimeoutMilliseconds = 1_000;
/** A health check uses the status and header fields only; a larger body fails the check. */
const maximumHealthBodyBytes = 16_384;

/** Status of a server that is not the one named in the request. */
const unexpectedInstanceStatus = 421;

/** Names (in lower case) and encoding of the header fields between the gate and its server. */
export interface ServerHeaderCodec {
  readonly requestId: string;
  readonly deadline: string;
  readonly expectedInstance: string;
  readonly callerService: string;
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

/** The result of a health check: which server responded, and whether it accepts requests. */
export interface HealthCheckResult {
  readonly instanceId: string | undefined;
  readonly isReady: boolean;
  readonly load: ServerLoad | undefined;
  /** Time for which the server stays cold, 0 if it is not cold; undefined if the response does not show it. */
  readonly coldMilliseconds: number | undefined;
}

export interface ServerClientOptions {
  readonly host: string;
  readonly port: number;
  /** Limit on the total size of all responses that are being read, and thereby on each one. */
  readonly responseMemoryBytes: number;
  readonly codec: ServerHeaderCodec;
  readonly clock: () => number;
  readonly onResult: (executionId: number, result: ExecutionResult) => void;
  /** An error while a response was read ended one request, or a health check if there is no identifier. */
  readonly onErrorContained: (requestId: string | undefined, error: Error) => void;
  readonly onLoadReport: (load: ServerLoad) => void;
  /** Called with what the expected server states about itself, before the result of the request. */
  readonly onNotice: (notice: ServerNotice) => void;
  /** Called when a server other than the expected one responded (status 421). */
  readonly onUnexpectedInstance: (instanceId: string) => void;
}

/** HTTP client for the server beside the node. */
export class ServerClient {
  private readonly agent: ServerAgent;
  private readonly activeRequests = new Map<number, ClientRequest>();
  /** Requests that this node aborted; their connections were not lost. */
  private readonly abortedRequests = new WeakSet<ClientRequest>();
  private readonly strippedFields: ReadonlySet<string>;
  private readonly responseMemory: ResponseMemoryLimiter;

  public constructor(private readonly options: ServerClientOptions) {
    this.agent = new ServerAgent(options.clock);
    this.responseMemory = new ResponseMemoryLimiter(options.responseMemoryBytes);
    this.strippedFields = new Set([options.codec.load, options.codec.instanceId]);
  }

  /** Sends a request; `onResult` is called exactly once for it. */
  public run(execution: Execution): void {
    const { executionId, frame } = execution;
    const { host, port } = this.options;
    let request: ClientRequest;
    try {
      request = httpRequest({
        agent: this.agent,
        headers: this.requestFields(execution),
        host,
        method: frame.method,
        path: frame.path,
        port,
        setHost: false,
      });
    } catch (error) {
      // Node.js throws on methods, paths and header fields that are invalid in HTTP.
      const detail = `request is not valid HTTP: ${String(error)}`;
      process.nextTick(() => {
        this.options.onResult(executionId, {
          detail,
          kind: 'not-run',
          reason: DeclineReason.ServerRefused,
        });
      });
      return;
    }
    limitInterimResponses(request, () => this.abortedRequests.add(request));
    this.activeRequests.set(executionId, request);
    this.attachListeners(request, execution);
    request.end(frame.body);
  }

  public abort(executionId: number): void {
    const request = this.activeRequests.get(executionId);
    if (request === undefined) return;
    if (request.reusedSocket) this.agent.closeIdleConnections();
    this.abortedRequests.add(request);
    request.destroy(new Error('aborted'));
  }

  /** Resolves to whether connections to the server are refused, as after a crash. */
  public async isRefusingConnections(): Promise<boolean> {
    return isConnectionRefused(this.options.host, this.options.port);
  }

  /** Sends one health check; resolves to `undefined` if it fails or times out. */
  public async health(path: string): Promise<HealthCheckResult | undefined> {
    const { codec, host, port } = this.options;
    return new Promise((resolve) => {
      const collectionOptions = {
        limitBytes: maximumHealthBodyBytes,
        overflowAction: 'close',
      } as const;
      const request = httpRequest({ agent: this.agent, host, path, port }, (response) => {
        const onCollected = ({ kind }: CollectedResponse): void => {
          if (kind !== 'whole') {
            resolve(undefined);
            return;
          }
          containError(
            () => {
              resolve({
                coldMilliseconds: this.readColdTime(response),
                instanceId: firstHeaderValue(response, codec.instanceId),
                isReady: response.statusCode === 200,
                load: this.readLoad(response),
              });
            },
            (error) => {
              this.options.onErrorContained(undefined, error);
              resolve(undefined);
            },
          );
        };
        new ResponseCollector(response, collectionOptions, onCollected, () => {
          clearTimeout(timer);
        }).start();
      });
      limitInterimResponses(request);
      // A total timeout rather than an idle timeout: the server may send bytes rarely but endlessly.
      const timer = setTimeout(() => {
        resolve(undefined);
        request.destroy();
      }, healthTimeoutMilliseconds);
      // The response resolves the promise; without one, 'close' does, which also follows an 'error'.
      request.on('error', () => undefined);
      request.on('close', () => {
        clearTimeout(timer);
        resolve(undefined);
      });
      request.end();
    });
  }

  public close(): void {
    this.agent.destroy();
  }

  private requestFields({
    deadline,
    frame,
    instanceId,
  }: Execution): Record<string, string | string[]> {
    const { clock, codec } = this.options;
    const fields = toOutgoingHeaders(frame.headers);
    fields[codec.requestId] = frame.requestId;
    fields[codec.deadline] = String(Math.max(1, Math.floor(deadline - clock())));
    fields[codec.expectedInstance] = instanceId;
    fields[codec.callerService] = frame.callerService;
    if (frame.body !== undefined) fields['content-length'] = String(frame.body.length);
    return fields;
  }

  private attachListeners(request: ClientRequest, execution: Execution): void {
    const { executionId } = execution;
    let isConnected = false;
    let received: IncomingMessage | undefined;
    const settle = (result: ExecutionResult): void => {
      if (!this.activeRequests.delete(executionId)) return;
      this.options.onResult(executionId, result);
    };
    request.on('socket', (socket) => {
      if (!socket.connecting) isConnected = true;
      else socket.once('connect', () => (isConnected = true));
    });
    request.on('error', (error) => {
      // Extra bytes after a complete response belong to no request: the response is valid, but its
      // connection must not be reused.
      if (received?.complete === true) {
        this.agent.disableReuse();
        return;
      }
      const detail = error.message;
      const isConnectionLost = !this.abortedRequests.has(request);
      if (isConnected) settle({ detail, isConnectionLost, kind: 'failed' });
      else settle({ detail, kind: 'not-run', reason: DeclineReason.ServerUnreachable });
    });
    request.on('response', (response) => {
      // The parser finishes the bytes that it has, also those behind the ones for which the request was destroyed.
      if (request.destroyed) {
        response.on('error', () => undefined);
        return;
      }
      received = response;
      this.handleResponse(request, response, execution, settle);
    });
    request.on('close', () => {
      if (received === undefined)
        settle({
          detail: 'connection closed before a response',
          isConnectionLost: !this.abortedRequests.has(request),
          kind: 'failed',
        });
    });
  }

  private handleResponse(
    request: ClientRequest,
    response: IncomingMessage,
    execution: Execution,
    settle: (result: ExecutionResult) => void,
  ): void {
    const { frame } = execution;
    const { statusCode: status = 0 } = response;
    const { codec } = this.options;
    const reject = (detail: string): void => {
      response.on('error', () => undefined);
      request.destroy();
      settle({ detail, kind: 'failed' });
    };
    if (firstHeaderValue(response, codec.requestId) !== frame.requestId) {
      this.agent.disableReuse();
      reject('response carries the identifier of another request');
      return;
    }
    const headers = endToEndHeaders(response.rawHeaders, this.strippedFields);
    const verdict = judgeResponse(this.readHead(response, headers), frame.idempotent);
    if (verdict.kind === 'invalid') {
      reject(verdict.detail);
      return;
    }
    const bodyEnd = findBodyEnd(response, frame.method);
    if (bodyEnd === BodyEnd.Unsupported) {
      reject('response has a transfer coding other than chunked');
      return;
    }
    let isEndKnown = bodyEnd === BodyEnd.Framing;
    if (!isEndKnown) {
      // The listener is prepended because the one of Node.js destroys the socket.
      const { socket } = response;
      socket.prependOnceListener('end', () => (isEndKnown = hasClosedCleanly(socket)));
    }
    const collectionOptions = {
      limitBytes: this.options.responseMemoryBytes,
      overflowAction: 'close',
    } as const;
    const collector: ResponseCollector = new ResponseCollector(
      response,
      collectionOptions,
      (collected) => {
        this.responseMemory.untrack(collector);
        if (collected.kind === 'whole' && isEndKnown)
          settle(
            this.readResult(response, execution, () =>
              verdict.kind === 'not-run'
                ? this.toNotRunResult(response)
                : { body: collected.body, headers, kind: 'answered', status },
            ),
          );
        else {
          const isConnectionLost = collected.kind === 'cut' && !this.abortedRequests.has(request);
          settle({ detail: 'response aborted or too long', isConnectionLost, kind: 'failed' });
        }
      },
      (isComplete) => {
        if (!isComplete) this.agent.disableReuse();
      },
      () => {
        this.responseMemory.enforceLimit();
      },
    );
    this.responseMemory.track(collector);
    collector.start();
  }

  /** Reads what accompanies a response. If it can't be read, the request failed; it may have run. */
  private readResult(
    response: IncomingMessage,
    { frame, instanceId }: Execution,
    toResult: () => ExecutionResult,
  ): ExecutionResult {
    let result: ExecutionResult = { detail: 'response could not be read', kind: 'failed' };
    containError(
      () => {
        const load = this.readLoad(response);
        if (load !== undefined) this.options.onLoadReport(load);
        if (response.statusCode !== unexpectedInstanceStatus)
          this.options.onNotice(this.readNotice(response, instanceId));
        result = toResult();
      },
      (error) => {
        this.options.onErrorContained(frame.requestId, error);
      },
    );
    return result;
  }

  private toNotRunResult(response: IncomingMessage): ExecutionResult {
    const status = response.statusCode ?? 0;
    if (status === unexpectedInstanceStatus) {
      const instanceId = firstHeaderValue(response, this.options.codec.instanceId);
      if (instanceId !== undefined) this.options.onUnexpectedInstance(instanceId);
    }
    const detail = `server rejected the request with status ${status} before executing it`;
    return { detail, kind: 'not-run', reason: DeclineReason.ServerRefused };
  }

  private readHead(response: IncomingMessage, headers: HeaderList): ResponseHead {
    const { notExecuted, signature } = this.options.codec;
    const signatures = headers.filter(([name]) => name === signature);
    return {
      isEncoded: response.headers['content-encoding'] !== undefined,
      isSigned: signatures.length === 1 && signatures[0]?.[1] !== '',
      statesNotExecuted: firstHeaderValue(response, notExecuted) !== undefined,
      status: response.statusCode ?? 0,
    };
  }

  /** A healthy server that is not cold may send no value. A rejected check without one shows nothing. */
  private readColdTime(response: IncomingMessage): number | undefined {
    const { codec } = this.options;
    const value = firstHeaderValue(response, codec.coldRemaining);
    if (value !== undefined) return codec.parseColdTime(value);
    return response.statusCode === 200 ? 0 : undefined;
  }

  private readNotice(response: IncomingMessage, instanceId: string): ServerNotice {
    const { codec } = this.options;
    const limit = firstHeaderValue(response, codec.requestLimit);
    const requestsPerSecond = limit === undefined ? Infinity : codec.parseRequestLimit(limit);
    const leaving = firstHeaderValue(response, codec.leaving);
    const isLeaving = leaving !== undefined && codec.parseLeaving(leaving);
    return { instanceId, isLeaving, requestsPerSecond };
  }

  private readLoad(response: IncomingMessage): ServerLoad | undefined {
    const value = firstHeaderValue(response, this.options.codec.load);
    return value === undefined ? undefined : this.options.codec.parseLoad(value);
  }
}

/**
 * Whether a connection that has ended was closed with FIN. Node.js reports a reset that arrives together with
 * data as an ordinary end, but the kernel then no longer has a peer address for the socket.
 */
function hasClosedCleanly(socket: Socket): boolean {
  return socket.remoteAddress !== undefined;
}

function firstHeaderValue(response: IncomingMessage, name: string): string | undefined {
  const value = response.headers[name];
  return Array.isArray(value) ? value[0] : value;
}
