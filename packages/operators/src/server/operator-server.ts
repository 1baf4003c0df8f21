import type { OutgoingHttpHeaders } from 'node:http';

import { SequentialServer } from '@peridotspring/http-server';
import type { SequentialRequest, SharedServerOptions } from '@peridotspring/http-server';

import type { Metrics } from '../observation/metrics.js';
import type { OperatorBackend } from '../operator-backend.js';
import type { StatementParser } from '../parsing/statement-parser.js';
import { QueryRunner } from '../query-runner.js';
import { renderTable } from '../render-table.js';
import type { QueryResult } from '../results.js';
import { OutputFormat, parseQueryBody } from './query-body.js';
import { SecretVerifier, type AcceptedSecrets } from './secret-verifier.js';

/** Limits of the operator port. */
export interface OperatorServerLimits {
  readonly bodyBytes: number;
  readonly headerBytes: number;
  readonly connections: number;
  /** Queries that run concurrently; further ones get a 503 response. */
  readonly concurrentQueries: number;
  /** Time within which a client has to send the head of a request, and then its body. */
  readonly requestTimeoutMilliseconds: number;
  /** Time without a request, or in which a client does not read on. */
  readonly idleTimeoutMilliseconds: number;
}

export const defaultOperatorServerLimits: OperatorServerLimits = {
  // The longest statement of the language, with room for JSON escapes.
  bodyBytes: 600_000,
  concurrentQueries: 16,
  connections: 64,
  headerBytes: 16_384,
  idleTimeoutMilliseconds: 5_000,
  requestTimeoutMilliseconds: 10_000,
};

export interface OperatorServerOptions extends SharedServerOptions {
  readonly backend: OperatorBackend;
  readonly parser: StatementParser;
  readonly metrics: Metrics;
  readonly secrets: AcceptedSecrets;
  readonly limits?: Partial<OperatorServerLimits> | undefined;
}

const jsonContentType = 'application/json; charset=utf-8';

/** HTTP status for a result. */
function statusOf(result: QueryResult): number {
  if (result.kind === 'faults') return 400;
  if (result.kind !== 'change') return 200;
  switch (result.status) {
    case 'accepted':
    case 'dry-run':
    case 'unchanged':
      return 200;
    case 'conflict':
      return 409;
    case 'rejected':
      return 422;
    case 'unresolved':
      return 503;
  }
}

/** HTTP server for operators: `POST /query`, `GET /metrics`, `GET /health` and `GET /ready`. */
export class OperatorServer {
  private readonly server: SequentialServer;
  private readonly runner: QueryRunner;
  private readonly secretVerifier: SecretVerifier;
  private readonly limits: OperatorServerLimits;
  private runningQueries = 0;

  public constructor(private readonly options: OperatorServerOptions) {
    this.limits = { ...defaultOperatorServerLimits, ...options.limits };
    this.runner = new QueryRunner(options.backend, options.parser);
    this.secretVerifier = new SecretVerifier(options.secrets);
    const { connections, headerBytes, idleTimeoutMilliseconds, requestTimeoutMilliseconds } =
      this.limits;
    this.server = new SequentialServer({
      ...options,
      limits: {
        headerBytes,
        headerTimeoutMilliseconds: requestTimeoutMilliseconds,
        idleTimeoutMilliseconds,
      },
      maximumConnections: connections,
      onRequest: (request) => {
        void this.handleRequest(request);
      },
      parserHeaderBytes: headerBytes,
      requestTimeoutMilliseconds,
    });
  }

  /** Starts listening. Resolves with the port, which the system chooses if the given port is 0. */
  public async listen(): Promise<number> {
    return this.server.listen();
  }

  /** Stops listening and closes all connections. */
  public async close(): Promise<void> {
    await this.server.close();
  }

  private async handleRequest(request: SequentialRequest): Promise<void> {
    try {
      await this.routeRequest(request);
    } catch (error) {
      sendFailure(request, 500, error instanceof Error ? error.message : 'unknown error');
    }
  }

  private async routeRequest(request: SequentialRequest): Promise<void> {
    const { headers, method = '', url = '' } = request.message;
    const route = `${method} ${url.split('?')[0] ?? ''}`;
    // Health and readiness need no secret: the supervisor of the process polls them, and they reveal no
    // names.
    if (route === 'GET /health') {
      sendJson(request, 200, { alive: true });
      return;
    }
    if (route === 'GET /ready') {
      const readiness = this.options.backend.readiness();
      sendJson(request, readiness.ready ? 200 : 503, readiness);
      return;
    }
    if (!this.secretVerifier.accepts(headers.authorization)) {
      const fields = { 'WWW-Authenticate': 'Bearer' };
      sendFailure(request, 401, 'the bearer secret is missing or invalid', fields);
      return;
    }
    if (route === 'GET /metrics') {
      const { metrics } = this.options;
      send(request, 200, { 'Content-Type': metrics.contentType }, await metrics.text());
      return;
    }
    if (route === 'POST /query') {
      await this.handleQuery(request);
      return;
    }
    sendFailure(
      request,
      404,
      'not found; the port serves POST /query, GET /metrics, GET /health and GET /ready',
    );
  }

  private async handleQuery(request: SequentialRequest): Promise<void> {
    if (this.runningQueries >= this.limits.concurrentQueries) {
      const message = `${this.runningQueries} queries are already running; try again later`;
      sendFailure(request, 503, message, { 'Retry-After': '1' });
      return;
    }
    this.runningQueries += 1;
    try {
      await this.runQuery(request);
    } finally {
      this.runningQueries -= 1;
    }
  }

  private async runQuery(request: SequentialRequest): Promise<void> {
    const { bodyBytes } = this.limits;
    const body = await request.readBody(bodyBytes);
    if (body?.kind === 'too-long')
      sendFailure(request, 413, `the body is longer than ${bodyBytes} bytes`);
    else if (body !== undefined) await this.answerQuery(request, body.text);
  }

  private async answerQuery(request: SequentialRequest, body: string): Promise<void> {
    const query = parseQueryBody(body);
    if (typeof query === 'string') {
      sendFailure(request, 400, query);
      return;
    }
    const result = await this.runner.run(query);
    const table =
      query.output === OutputFormat.Table ? { table: renderTable(result, query.text) } : {};
    sendJson(request, statusOf(result), { ...result, ...table });
  }
}

function sendFailure(
  request: SequentialRequest,
  status: number,
  message: string,
  fields: OutgoingHttpHeaders = {},
): void {
  sendJson(request, status, { kind: 'failed', message }, fields);
}

function sendJson(
  request: SequentialRequest,
  status: number,
  content: unknown,
  fields: OutgoingHttpHeaders = {},
): void {
  send(request, status, { ...fields, 'Content-Type': jsonContentType }, JSON.stringify(content));
}

function send(
  request: SequentialRequest,
  status: number,
  fields: OutgoingHttpHeaders,
  text: string,
): void {
  request.respond(status, { ...fields, 'Cache-Control': 'no-store' }, text);
}
