// Stand-in of an application server: slots, a queue, identity, deadlines and status reports as in PROTOCOL.md.
import { createServer, request as httpRequest } from 'node:http';
import { setInterval, clearInterval, setTimeout } from 'node:timers';

const queueLength = 18;

export class Server {
  /** Requests that began to run: { id, at, caller, deadline }. */
  runs = [];
  /** Every request that arrived, run or not. */
  arrivals = [];
  running = 0;
  waiting = [];
  sequence = 0;
  state = 'ready';
  answered = 0;

  /**
   * `spoil(context)` may replace the answer to a request that has run: it returns true if it has written to the socket
   * itself. `workMilliseconds(request)` is the time that a run takes.
   */
  constructor({ name, service, zone, host, port, control, slots = 9, workMilliseconds, spoil }) {
    Object.assign(this, { name, service, zone, host, port, control, slots });
    this.workMilliseconds = workMilliseconds;
    this.spoil = spoil;
    this.id = `i-${name}`;
    this.born = Date.now();
    this.server = createServer((request, response) => this.handle(request, response));
    this.server.keepAliveTimeout = 10_000;
  }

  listen() {
    return new Promise((resolve) => this.server.listen(this.port, this.host, resolve));
  }

  startReports(intervalMilliseconds = 1_500) {
    void this.report();
    this.timer = setInterval(() => void this.report(), intervalMilliseconds);
  }

  close() {
    clearInterval(this.timer);
    this.server.closeAllConnections();
    this.server.close();
  }

  get load() {
    return `${this.running},${this.waiting.length},${this.slots},100`;
  }

  handle(request, response) {
    const { headers } = request;
    const id = headers['peridotspring-request-id'];
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    response.setHeader('Peridotspring-Server-Load', this.load);
    response.setHeader('Peridotspring-Instance-Id', this.id);
    if (request.url === '/health') {
      response.writeHead(this.state === 'ready' ? 200 : 503).end();
      return;
    }
    if (id !== undefined) response.setHeader('Peridotspring-Request-Id', id);
    request.resume();
    request.on('end', () => {
      this.arrivals.push({ at: Date.now(), id });
      const expected = headers['peridotspring-expected-instance'];
      if (expected !== undefined && expected !== this.id) {
        response.writeHead(421).end();
      } else if (id === undefined) {
        response.writeHead(400, { 'Peridotspring-Not-Executed': '1' }).end();
      } else if (this.running < this.slots) this.run(request, response);
      else if (this.waiting.length < queueLength) this.waiting.push([request, response]);
      else response.writeHead(503, { 'Peridotspring-Not-Executed': '1' }).end();
    });
  }

  run(request, response) {
    const { headers } = request;
    const id = headers['peridotspring-request-id'];
    const caller = headers['peridotspring-caller-service'];
    const run = { at: Date.now(), caller, id, method: request.method, url: request.url };
    this.runs.push(run);
    this.running += 1;
    setTimeout(() => {
      this.running -= 1;
      this.answer(request, response, id, run);
      const next = this.waiting.shift();
      if (next !== undefined) this.run(...next);
    }, this.workMilliseconds(request));
  }

  answer(request, response, id, run) {
    this.answered += 1;
    run.answeredAt = Date.now();
    if (request.socket.destroyed) return;
    if (this.spoil?.({ id, request, response, run, server: this }) === true) {
      run.isSpoiled = true;
      return;
    }
    response.setHeader('Peridotspring-Response-Signature', `s-${id}`);
    response.setHeader('Peridotspring-Server-Load', this.load);
    response.writeHead(200).end(`answer to ${id}`);
  }

  /** Sends a status report; resolves to whether it was confirmed within a second. */
  report() {
    this.sequence += 1;
    const body = {
      address: `${this.host}:${this.port}`,
      born: this.born,
      cold_remaining_ms: 0,
      sequence: this.sequence,
      service: this.service,
      slots: this.slots,
      state: this.state,
      version: 'v1',
      zone: this.zone,
    };
    return this.send('PUT', JSON.stringify(body));
  }

  send(method, body) {
    const [host, port] = this.control.split(':');
    const path = `/peridotspring/instances/${this.id}`;
    const headers = { 'content-type': 'application/json' };
    return new Promise((resolve) => {
      const call = httpRequest({ headers, host, method, path, port, timeout: 1_000 }, (answer) => {
        answer.resume();
        answer.on('end', () => resolve(answer.statusCode >= 200 && answer.statusCode < 300));
      });
      call.on('timeout', () => call.destroy());
      call.on('error', () => resolve(false));
      call.end(body);
    });
  }
}
