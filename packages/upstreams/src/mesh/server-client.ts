import { request as httpRequest } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

import { containError } from '@peridotspring/core';
import {
  DeclineReason,
  endToEndHeaders,
  judgeResponse,
  MemoryPlace,
  toOutgoingHeaders,
} from '@peridotspring/mesh-core';
import type {
  Execution,
  ExecutionResult,
  MemoryAccount,
  ServerLoad,
  ServerNotice,
} from '@peridotspring/mesh-core';

import { ResponseCollector } from '../response-collector.js';
import { readAllFields } from '../all-fields.js';
import { limitInterimResponses } from '../interim-responses.js';
import { BodyEnd, findBodyEnd } from '../response-framing.js';
import { isConnectionRefused } from './listener-check.js';
import { ResponseMemoryLimiter } from './response-memory-limiter.js';
import { ServerAgent } from './server-agent.js';
import { checkHealth } from './server-health-check.js';
import type { HealthCheckResult } from './server-health-check.js';
import { ServerResponseReader } from './server-response-reader.js';
import type { ServerHeaderCodec } from './server-response-reader.js';

/** Status of a server that is not the one named in the request. */
const unexpectedInstanceStatus = 421;

export interface ServerClientOptions {
  readonly host: string;
  readonly port: number;
  /** Limit on the total size of all responses that are being read, and thereby on each one. */
  readonly responseMemoryBytes: number;
  /** Counts responses while they are being read, beside their own limit. */
  readonly memory: MemoryAccount;
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
  private readonly reader: ServerResponseReader;
  private readonly strippedFields: ReadonlySet<string>;
  private readonly responseMemory: ResponseMemoryLimiter;

  public constructor(private readonly options: ServerClientOptions) {
    this.agent = new ServerAgent(options.clock);
    this.reader = new ServerResponseReader(options.codec);
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
    readAllFields(request);
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
    const { host, port } = this.options;
    return checkHealth({ agent: this.agent, host, path, port }, this.reader, (error) => {
      this.options.onErrorContained(undefined, error);
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
    if (frame.tenant !== undefined) fields[codec.tenant] = frame.tenant;
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
        rejectResponse(request, response);
        return;
      }
      received = response;
      containError(
        () => {
          this.handleResponse(request, response, execution, settle);
        },
        (error) => {
          this.options.onErrorContained(execution.frame.requestId, error);
          rejectResponse(request, response);
          settle({ detail: 'response could not be read', kind: 'failed' });
        },
      );
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
    const reject = (detail: string): void => {
      rejectResponse(request, response);
      settle({ detail, kind: 'failed' });
    };
    if (this.reader.requestId(response) !== frame.requestId) {
      this.agent.disableReuse();
      reject('response carries the identifier of another request');
      return;
    }
    const headers = endToEndHeaders(response.rawHeaders, this.strippedFields);
    const verdict = judgeResponse(this.reader.head(response, headers), frame.idempotent);
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
    const { clock, memory } = this.options;
    const hold = memory.open({ place: MemoryPlace.ServerAnswer }, clock());
    const takeMemory = (): void => {
      const { bufferedBytes } = collector;
      // Once the response has been collected or given up, there is nothing to hold.
      if (bufferedBytes > 0 && !hold.tryResize(bufferedBytes, clock())) collector.abort();
    };
    const collector: ResponseCollector = new ResponseCollector(
      response,
      collectionOptions,
      (collected) => {
        this.responseMemory.untrack(collector);
        hold.release();
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
        takeMemory();
      },
    );
    this.responseMemory.track(collector);
    collector.start();
    takeMemory();
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
        const load = this.reader.load(response);
        if (load !== undefined) this.options.onLoadReport(load);
        if (response.statusCode !== unexpectedInstanceStatus)
          this.options.onNotice(this.reader.notice(response, instanceId));
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
      const instanceId = this.reader.instanceId(response);
      if (instanceId !== undefined) this.options.onUnexpectedInstance(instanceId);
    }
    const detail = `server rejected the request with status ${status} before executing it`;
    return { detail, kind: 'not-run', reason: DeclineReason.ServerRefused };
  }
}

/** Closes the connection of a response that is no answer; what it still delivers is ignored. */
function rejectResponse(request: ClientRequest, response: IncomingMessage): void {
  response.on('error', () => undefined);
  request.destroy();
}

/**
 * Whether a connection that has ended was closed with FIN. Node.js reports a reset that arrives together with
 * data as an ordinary end, but the kernel then no longer has a peer address for the socket.
 */
function hasClosedCleanly(socket: Socket): boolean {
  return socket.remoteAddress !== undefined;
}
