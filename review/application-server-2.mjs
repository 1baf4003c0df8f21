// Stand-in of an application server: it reports to its node, runs requests and answers health checks as PROTOCOL.md says.
import { Buffer } from 'node:buffer';
import { createServer, request as httpRequest } from 'node:http';
import { clearInterval, setInterval } from 'node:timers';

const reportIntervalMilliseconds = 1_500;

export class ApplicationServer {
  /**
   * @param options host, port, service, zone, control (host:port of the node), slots, workMilliseconds, record.
   * `answer(request, response, body, run)` may replace the usual answer to a request that has run.
   */
  constructor(options) {
    this.options = { slots: 6, workMilliseconds: () => 30, ...options };
    this.runs = [];
    this.running = 0;
    this.state = 'ready';
    this.isReporting = true;
    this.server = createServer((request, response) => {
      const chunks = [];
      request.on('data', (chunk) => chunks.push(chunk));
      request.on('end', () => this.#handle(request, response, Buffer.concat(chunks)));
      request.on('error', () => undefined);
    });
    this.server.keepAliveTimeout = 10_000;
    // Node.js would drop header fields beyond the thousandth.
    this.server.maxHeadersCount = 0;
    this.start();
  }

  /** Begins a new lifetime. */
  start() {
    ApplicationServer.count = (ApplicationServer.count ?? 0) + 1;
    this.id = `i-${ApplicationServer.count.toString(16).padStart(8, '0')}`;
    this.born = Date.now();
    this.sequence = 0;
    this.state = 'ready';
  }

  async listen() {
    const { host, port } = this.options;
    await new Promise((resolve) => this.server.listen(port, host, resolve));
    const report = () => {
      if (this.isReporting) void this.report();
    };
    report();
    this.timer = setInterval(report, this.options.reportMilliseconds ?? reportIntervalMilliseconds);
  }

  close() {
    clearInterval(this.timer);
    this.server.closeAllConnections();
    this.server.close();
  }

  /** The next status report, which may be sent later. */
  nextReport() {
    this.sequence += 1;
    const { host, port, service, slots, zone } = this.options;
    return JSON.stringify({
      address: `${host}:${port}`,
      born: this.born,
      cold_remaining_ms: 0,
      sequence: this.sequence,
      service,
      slots,
      state: this.state,
      version: 'v1',
      zone,
    });
  }

  async report(body = this.nextReport()) {
    return this.call('PUT', body);
  }

  /** Calls the node; resolves to the status of its answer, undefined without one. */
  async call(method, body = '', id = this.id) {
    const [host, port] = this.options.control.split(':');
    return new Promise((resolve) => {
      const path = `/peridotspring/instances/${id}`;
      const headers = body === '' ? {} : { 'content-type': 'application/json' };
      const request = httpRequest({ agent: false, headers, host, method, path, port });
      const timer = setTimeout(() => request.destroy(), 1_000);
      request.on('response', (response) => {
        response.resume();
        response.on('end', () => {
          clearTimeout(timer);
          resolve(response.statusCode);
        });
      });
      request.on('error', () => {
        clearTimeout(timer);
        resolve(undefined);
      });
      request.end(body);
    });
  }

  #handle(request, response, body) {
    const requestId = request.headers['peridotspring-request-id'];
    response.setHeader('peridotspring-server-load', `${this.running},0,${this.options.slots},100`);
    if (requestId !== undefined) response.setHeader('peridotspring-request-id', requestId);
    if (request.url === this.options.healthPath || request.url === '/health') {
      response.setHeader('peridotspring-instance-id', this.id);
      response.writeHead(this.state === 'ready' ? 200 : 503).end();
      return;
    }
    if (request.headers['peridotspring-expected-instance'] !== this.id) {
      response.setHeader('peridotspring-instance-id', this.id);
      response.writeHead(421, { 'peridotspring-not-executed': '1' }).end();
      return;
    }
    if (requestId === undefined) {
      response.writeHead(400, { 'peridotspring-not-executed': '1' }).end();
      return;
    }
    if (this.running >= this.options.slots) {
      response.writeHead(503, { 'peridotspring-not-executed': '1' }).end();
      return;
    }
    const run = {
      at: Date.now(),
      body: body.toString('latin1'),
      headers: request.headers,
      id: requestId,
      instance: this.id,
      method: request.method,
      path: request.url,
      service: this.options.service,
    };
    this.runs.push(run);
    this.options.record?.(`${this.options.service} ${this.id} runs ${requestId}`);
    this.running += 1;
    const finish = () => {
      this.running -= 1;
      if (this.options.answer?.(request, response, body, run) === true) return;
      response.setHeader('peridotspring-response-signature', `s-${requestId}`);
      response.writeHead(200, { 'content-type': 'text/plain' });
      response.end(`answer to ${requestId}\n`);
    };
    setTimeout(finish, this.options.workMilliseconds(run));
  }
}
