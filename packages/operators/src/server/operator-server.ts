import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

import type { Metrics } from '../observation/metrics.js';
import type { OperatorBackend } from '../operator-backend.js';
import type { StatementParser } from '../parsing/statement-parser.js';
import { QueryRunner } from '../query-runner.js';
import { renderTable } from '../render-table.js';
import type { QueryResult } from '../results.js';
import { Output, parseQueryBody, readBody } from './query-body.js';
import { SecretCheck, type AcceptedSecrets } from './secret-check.js';

/** Bounds of the operator port. */
export interface OperatorServerLimits {
  readonly bodyBytes: number;
  readonly headerBytes: number;
  readonly connections: number;
  /** Queries that run at once; further ones are answered 503. */
  readonly concurrentQueries: number;
  /** Time in which a client has to send its request. */
  readonly requestTimeoutMilliseconds: number;
}

/** Bounds that hold unless others are given. */
export const defaultOperatorServerLimits: OperatorServerLimits = {
  // The longest text in the language, with room for its JSON escapes.
  bodyBytes: 600_000,
  concurrentQueries: 16,
  connections: 64,
  headerBytes: 16_384,
  requestTimeoutMilliseconds: 10_000,
};

/** What an operator server is made of. */
export interface OperatorServerOptions {
  readonly backend: OperatorBackend;
  readonly parser: StatementParser;
  readonly metrics: Metrics;
  readonly secrets: AcceptedSecrets;
  readonly limits?: Partial<OperatorServerLimits> | undefined;
}

const jsonType = 'application/json; charset=utf-8';

/** HTTP status of each result. */
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

/** The operators' HTTP port: `POST /query`, `GET /metrics`, `GET /health`, `GET /ready`. */
export class OperatorServer {
  private readonly server: Server;
  private readonly runner: QueryRunner;
  private readonly secretCheck: SecretCheck;
  private readonly limits: OperatorServerLimits;
  private runningQueries = 0;

  public constructor(private readonly options: OperatorServerOptions) {
    this.limits = { ...defaultOperatorServerLimits, ...options.limits };
    this.runner = new QueryRunner(options.backend, options.parser);
    this.secretCheck = new SecretCheck(options.secrets);
    this.server = createServer(
      {
        connectionsCheckingInterval: 1_000,
        headersTimeout: this.limits.requestTimeoutMilliseconds,
        maxHeaderSize: this.limits.headerBytes,
        requestTimeout: this.limits.requestTimeoutMilliseconds,
      },
      (request, response) => {
        void this.handle(request, response);
      },
    );
    this.server.maxConnections = this.limits.connections;
  }

  /** Listens; resolves with the port, which differs from the given one if that is 0. */
  public listen(host: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => {
        this.server.off('error', reject);
        resolve((this.server.address() as AddressInfo).port);
      });
    });
  }

  /** Closes the port and every connection. */
  public close(): Promise<void> {
    return new Promise((resolve) => {
      this.server.close(() => {
        resolve();
      });
      this.server.closeAllConnections();
    });
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    try {
      await this.route(request, response);
    } catch (error) {
      // A client that goes away while it sends its body lands here as well.
      const message = error instanceof Error ? error.message : 'unknown fault';
      this.fail(response, 500, message);
    }
  }

  private async route(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const path = (request.url ?? '').split('?')[0] ?? '';
    const route = `${request.method ?? ''} ${path}`;
    // Health and readiness are open: whatever starts the process asks them, and they tell no names.
    if (route === 'GET /health') {
      this.send(response, 200, jsonType, JSON.stringify({ alive: true }));
      return;
    }
    if (route === 'GET /ready') {
      const readiness = this.options.backend.readiness();
      this.send(response, readiness.ready ? 200 : 503, jsonType, JSON.stringify(readiness));
      return;
    }
    if (!this.secretCheck.accepts(request.headers.authorization)) {
      response.setHeader('WWW-Authenticate', 'Bearer');
      this.fail(response, 401, 'the bearer secret is missing or wrong');
      return;
    }
    if (route === 'GET /metrics') {
      const { metrics } = this.options;
      this.send(response, 200, metrics.contentType, await metrics.text());
      return;
    }
    if (route === 'POST /query') {
      await this.query(request, response);
      return;
    }
    this.fail(response, 404, 'there are POST /query, GET /metrics, GET /health and GET /ready');
  }

  private async query(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (this.runningQueries >= this.limits.concurrentQueries) {
      response.setHeader('Retry-After', '1');
      this.fail(response, 503, `${this.runningQueries} queries are running; try again`);
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
      this.fail(response, 413, `the body has more than ${this.limits.bodyBytes} bytes`);
      return;
    }
    const query = parseQueryBody(body);
    if (typeof query === 'string') {
      this.fail(response, 400, query);
      return;
    }
    const result = await this.runner.run(query);
    const table = query.output === Output.Table ? { table: renderTable(result, query.text) } : {};
    this.send(response, statusOf(result), jsonType, JSON.stringify({ ...result, ...table }));
  }

  private fail(response: ServerResponse, status: number, message: string): void {
    this.send(response, status, jsonType, JSON.stringify({ kind: 'failed', message }));
  }

  private send(response: ServerResponse, status: number, type: string, body: string): void {
    if (response.headersSent || response.destroyed) return;
    response.writeHead(status, {
      'Cache-Control': 'no-store',
      'Content-Length': Buffer.byteLength(body),
      'Content-Type': type,
    });
    response.end(body);
  }
}
