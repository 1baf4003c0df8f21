import { request as httpRequest } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

import {
  DeclineReason,
  endToEndHeaders,
  headerValue,
  toOutgoingHeaders,
} from '@peridotspring/mesh-core';
import type { Execution, ExecutionResult, HeaderList, ServerLoad } from '@peridotspring/mesh-core';

import { AnswerCollector } from '../answer-collector.js';
import type { CollectedAnswer } from '../answer-collector.js';
import { AnswerMemory } from './answer-memory.js';
import { ServerAgent } from './server-agent.js';

/** For a health check and the whole of its answer. */
const healthTimeoutMilliseconds = 1_000;
/** A health answer tells by its status and its fields; a body of more than this is no health answer. */
const maximumHealthBytes = 16_384;

/** Names and forms of the header fields between the gate and its server; names in lower case. */
export interface ServerHeaderCodec {
  readonly requestId: string;
  readonly deadline: string;
  readonly expectedInstance: string;
  readonly callerService: string;
  /** Marks an answer as the server's own. */
  readonly signature: string;
  /** Says that the server did not run the request. */
  readonly notExecuted: string;
  readonly instanceId: string;
  readonly load: string;
  parseLoad(value: string): ServerLoad | undefined;
}

/** Who answered a health check, and whether it takes requests. */
export interface HealthAnswer {
  readonly instanceId: string | undefined;
  readonly isReady: boolean;
  readonly load: ServerLoad | undefined;
}

export interface ServerClientOptions {
  readonly host: string;
  readonly port: number;
  /** Bound on what all answers that are being read hold together, and so on each. */
  readonly answerMemoryBytes: number;
  readonly codec: ServerHeaderCodec;
  readonly clock: () => number;
  readonly concluded: (executionId: number, result: ExecutionResult) => void;
  readonly load: (load: ServerLoad) => void;
  /** Another server than the expected one answered. */
  readonly otherInstance: (instanceId: string) => void;
}

/** HTTP client to the server beside the node. */
export class ServerClient {
  private readonly agent: ServerAgent;
  private readonly requests = new Map<number, ClientRequest>();
  private readonly droppedFields: ReadonlySet<string>;
  private readonly memory: AnswerMemory;

  public constructor(private readonly options: ServerClientOptions) {
    this.agent = new ServerAgent(options.clock);
    this.memory = new AnswerMemory(options.answerMemoryBytes);
    this.droppedFields = new Set([options.codec.load, options.codec.instanceId]);
  }

  /** Sends a request; exactly one result follows. */
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
      // Node.js rejects methods, paths and fields that can't be written as HTTP.
      const detail = `the request can't be written: ${String(error)}`;
      process.nextTick(() => {
        this.options.concluded(executionId, {
          detail,
          kind: 'not-run',
          reason: DeclineReason.ServerRefused,
        });
      });
      return;
    }
    this.requests.set(executionId, request);
    this.listen(request, execution);
    request.end(frame.body);
  }

  public abort(executionId: number): void {
    const request = this.requests.get(executionId);
    if (request === undefined) return;
    if (request.reusedSocket) this.agent.dropIdle();
    request.destroy(new Error('aborted'));
  }

  /** Asks the server for its health once; undefined if it does not answer in time. */
  public async health(path: string): Promise<HealthAnswer | undefined> {
    const { codec, host, port } = this.options;
    return new Promise((resolve) => {
      const rule = { limitBytes: maximumHealthBytes, whenLonger: 'close' } as const;
      const request = httpRequest({ agent: this.agent, host, path, port }, (response) => {
        const concluded = ({ kind }: CollectedAnswer): void => {
          if (kind !== 'whole') {
            resolve(undefined);
            return;
          }
          const load = this.loadOf(response);
          const instanceId = headerOf(response, codec.instanceId);
          resolve({ instanceId, isReady: response.statusCode === 200, load });
        };
        new AnswerCollector(response, rule, concluded, () => {
          clearTimeout(timer);
        }).start();
      });
      // Not an idle time: bytes may come without end, and seldom.
      const timer = setTimeout(() => {
        resolve(undefined);
        request.destroy();
      }, healthTimeoutMilliseconds);
      // The answer itself concludes; without one, 'close' tells that none comes. An error is followed by it.
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

  private listen(request: ClientRequest, execution: Execution): void {
    const { executionId } = execution;
    let isConnected = false;
    let received: IncomingMessage | undefined;
    const conclude = (result: ExecutionResult): void => {
      if (!this.requests.delete(executionId)) return;
      this.options.concluded(executionId, result);
    };
    request.on('socket', (socket) => {
      if (!socket.connecting) isConnected = true;
      else socket.once('connect', () => (isConnected = true));
    });
    request.on('error', (error) => {
      // Bytes behind a whole answer belong to no request; the answer stands, its connection does not.
      if (received?.complete === true) {
        this.agent.distrust();
        return;
      }
      const detail = error.message;
      if (isConnected) conclude({ detail, kind: 'failed' });
      else conclude({ detail, kind: 'not-run', reason: DeclineReason.ServerUnreachable });
    });
    request.on('response', (response) => {
      received = response;
      this.receive(request, response, execution, conclude);
    });
    request.on('close', () => {
      if (received === undefined) conclude({ detail: 'closed without an answer', kind: 'failed' });
    });
  }

  private receive(
    request: ClientRequest,
    response: IncomingMessage,
    { frame }: Execution,
    conclude: (result: ExecutionResult) => void,
  ): void {
    const { codec } = this.options;
    if (headerOf(response, codec.requestId) !== frame.requestId) {
      this.agent.distrust();
      response.on('error', () => undefined);
      request.destroy();
      conclude({ detail: 'the answer belongs to another request', kind: 'failed' });
      return;
    }
    let hasEnd = isEndMarked(response);
    if (!hasEnd) {
      // The end of the connection is that of the answer; Node.js drops the connection in its own listener.
      const { socket } = response;
      socket.prependOnceListener('end', () => (hasEnd = isStillConnected(socket)));
    }
    const rule = { limitBytes: this.options.answerMemoryBytes, whenLonger: 'close' } as const;
    const collector: AnswerCollector = new AnswerCollector(
      response,
      rule,
      (answer) => {
        this.memory.closed(collector);
        if (answer.kind === 'whole' && hasEnd) conclude(this.resultOf(response, answer.body));
        else conclude({ detail: 'the answer was cut or is too long', kind: 'failed' });
      },
      (isComplete) => {
        if (!isComplete) this.agent.distrust();
      },
      () => {
        this.memory.grown();
      },
    );
    this.memory.opened(collector);
    collector.start();
  }

  private resultOf(response: IncomingMessage, body: Uint8Array): ExecutionResult {
    const { codec } = this.options;
    const load = this.loadOf(response);
    if (load !== undefined) this.options.load(load);
    const status = response.statusCode ?? 0;
    if (status === 421) {
      const instanceId = headerOf(response, codec.instanceId);
      if (instanceId !== undefined) this.options.otherInstance(instanceId);
    }
    if (status === 421 || headerOf(response, codec.notExecuted) !== undefined) {
      const detail = `the server answered ${status} without running the request`;
      return { detail, kind: 'not-run', reason: DeclineReason.ServerRefused };
    }
    const headers = endToEndHeaders(response.rawHeaders, this.droppedFields);
    const fault = this.faultOf(status, headers);
    return fault === undefined
      ? { body, headers, kind: 'answered', status }
      : { detail: fault, kind: 'failed' };
  }

  /** Why an answer can't be the server's own. */
  private faultOf(status: number, headers: HeaderList): string | undefined {
    if (headerValue(headers, 'content-encoding') !== undefined) return 'the answer is encoded';
    const isSuccess = status >= 200 && status < 300;
    const isSigned = headerValue(headers, this.options.codec.signature) !== undefined;
    return isSuccess && !isSigned ? 'the answer has no signature' : undefined;
  }

  private loadOf(response: IncomingMessage): ServerLoad | undefined {
    const value = headerOf(response, this.options.codec.load);
    return value === undefined ? undefined : this.options.codec.parseLoad(value);
  }
}

/** Whether the answer itself tells where its body ends (RFC 9112, section 6.3). */
function isEndMarked({ headers }: IncomingMessage): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}

/**
 * Whether a connection that has ended was closed in order. A reset that arrives together with bytes
 * reaches Node.js as an ordinary end, but then the kernel knows no peer any more.
 */
function isStillConnected(socket: Socket): boolean {
  return socket.remoteAddress !== undefined;
}

function headerOf(response: IncomingMessage, name: string): string | undefined {
  const value = response.headers[name];
  return Array.isArray(value) ? value[0] : value;
}
