import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

import type { Metrics } from '../observation/metrics.js';
import type { OperatorBackend } from '../operator-backend.js';
import type { StatementParser } from '../parsing/statement-parser.js';
import { QueryRunner } from '../query-runner.js';
import { renderTable } from '../render-table.js';
import type { QueryResult } from '../results.js';
import { OutputFormat, parseQueryBody, readBody } from './query-body.js';
import { SecretVerifier, type AcceptedSecrets } from './secret-verifier.js';

/** Limits of the operator port. */
export interface OperatorServerLimits {
  readonly bodyBytes: number;
  readonly headerBytes: number;
  readonly connections: number;
  /** Queries that run concurrently; further ones get a 503 response. */
  readonly concurrentQueries: number;
  /** Time within which a client has to send its whole request. */
  readonly requestTimeoutMilliseconds: number;
}

export const defaultOperatorServerLimits: OperatorServerLimits = {
  // The longest statement of the language, with room for JSON escapes.
  bodyBytes: 600_000,
  concurrentQueries: 16,
  connections: 64,
  headerBytes: 16_384,
  requestTimeoutMilliseconds: 10_000,
};

export interface OperatorServerOptions {
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
  private readonly server: Server;
  private readonly runner: QueryRunner;
  private readonly secretVerifier: SecretVerifier;
  private readonly limits: OperatorServerLimits;
  private runningQueries = 0;

  public constructor(private readonly options: OperatorServerOptions) {
    this.limits = { ...defaultOperatorServerLimits, ...options.limits };
    this.runner = new QueryRunner(options.backend, options.parser);
    this.secretVerifier = new SecretVerifier(options.secrets);
    this.server = createServer(
      {
        connectionsCheckingInterval: 1_000,
        headersTimeout: this.limits.requestTimeoutMilliseconds,
        maxHeaderSize: this.limits.headerBytes,
        requestTimeout: this.limits.requestTimeoutMilliseconds,
      },
      (request, response) => {
        void this.handleRequest(request, response);
      },
    );
    this.server.maxConnections = this.limits.connections;
  }

  /** Starts listening. Resolves with the port, which the system chooses if the given port is 0. */
  public listen(host: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => {
        this.server.off('error', reject);
        resolve((this.server.address() as AddressInfo).port);
      });
    });
  }

  /** Stops listening and closes all connections. */
  public close(): Promise<void> {
    return new Promise((resolve) => {
      this.server.close(() => {
        resolve();
      });
      this.server.closeAllConnections();
    });
  }

  private async handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    try {
      await this.routeRequest(request, response);
    } catch (error) {
      // Also reached when a client disconnects while it sends its body.
      const message = error instanceof Error ? error.message : 'unknown error';
      this.sendFailure(response, 500, message);
    }
  }

  private async routeRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const path = (request.url ?? '').split('?')[0] ?? '';
    const route = `${request.method ?? ''} ${path}`;
    // Health and readiness need no secret: the supervisor of the process polls them, and they reveal no
    // names.
    if (route === 'GET /health') {
      this.sendResponse(response, 200, jsonContentType, JSON.stringify({ alive: true }));
      return;
    }
    if (route === 'GET /ready') {
      const readiness = this.options.backend.readiness();
      this.sendResponse(
        response,
        readiness.ready ? 200 : 503,
        jsonContentType,
        JSON.stringify(readiness),
      );
      return;
    }
    if (!this.secretVerifier.accepts(request.headers.authorization)) {
      response.setHeader('WWW-Authenticate', 'Bearer');
      this.sendFailure(response, 401, 'the bearer secret is missing or invalid');
      return;
    }
    if (route === 'GET /metrics') {
      const { metrics } = this.options;
      this.sendResponse(response, 200, metrics.contentType, await metrics.text());
      return;
    }
    if (route === 'POST /query') {
      await this.handleQuery(request, response);
      return;
    }
    this.sendFailure(
      response,
      404,
      'not found; the port serves POST /query, GET /metrics, GET /health and GET /ready',
    );
  }

  private async handleQuery(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (this.runningQueries >= this.limits.concurrentQueries) {
      response.setHeader('Retry-After', '1');
      this.sendFailure(
        response,
        503,
        `${this.runningQueries} queries are already running; try again later`,
      );
      return;
    }
    this.runningQueries += 1;
    try {
      await this.runQuery(request, response);
    } finally {
      this.runningQueries -= 1;
    }
  }

  private async runQuery(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readBody(request, this.limits.bodyBytes);
    if (body === undefined) {
      response.setHeader('Connection', 'close');
      this.sendFailure(response, 413, `the body is longer than ${this.limits.bodyBytes} bytes`);
      return;
    }
    const query = parseQueryBody(body);
    if (typeof query === 'string') {
      this.sendFailure(response, 400, query);
      return;
    }
    const result = await this.runner.run(query);
    const table =
      query.output === OutputFormat.Table ? { table: renderTable(result, query.text) } : {};
    this.sendResponse(
      response,
      statusOf(result),
      jsonContentType,
      JSON.stringify({ ...result, ...table }),
    );
  }

  private sendFailure(response: ServerResponse, status: number, message: string): void {
    this.sendResponse(
      response,
      status,
      jsonContentType,
      JSON.stringify({ kind: 'failed', message }),
    );
  }

  private sendResponse(response: ServerResponse, status: number, type: string, body: string): void {
    if (response.headersSent || response.destroyed) return;
    response.writeHead(status, {
      'Cache-Control': 'no-store',
      'Content-Length': Buffer.byteLength(body),
      'Content-Type': type,
    });
    response.end(body);
  }
}
