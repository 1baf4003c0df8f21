// Requesters of a machine: they keep connections open and send requests at a steady rate to the machine's `outbound` address.
import { Agent, request as httpRequest } from 'node:http';
import { setTimeout, clearTimeout } from 'node:timers';

import { pause } from './cluster.mjs';

let nextId = 1;
const run = Math.floor(Math.random() * 0xffffff)
  .toString(16)
  .padStart(6, '0');

/** An id of the platform's form: 16 hexadecimal digits. */
export const newId = () => {
  nextId += 1;
  return `${run}${nextId.toString(16).padStart(10, '0')}`;
};

export class Requesters {
  results = [];

  constructor(machine, cluster, { timeLimitMilliseconds = 1_200 } = {}) {
    this.machine = machine;
    this.cluster = cluster;
    this.timeLimitMilliseconds = timeLimitMilliseconds;
    this.agent = new Agent({ keepAlive: true, maxSockets: 200, timeout: 12_000 });
  }

  /** Sends one request; resolves to what the requester saw. */
  send({ body, headers = {}, id = newId(), isRepeat = false, kind, limit, method, path }) {
    const { host, port } = this.machine.outbound;
    const sentAt = Date.now();
    const timeLimitMilliseconds = limit ?? this.timeLimitMilliseconds;
    const result = { id, kind, machine: this.machine.name, path, sentAt };
    if (typeof body === 'string') result.sentBody = body;
    this.results.push(result);
    return new Promise((resolve) => {
      const finish = (fields) => {
        if (result.endedAt !== undefined) return;
        clearTimeout(timer);
        Object.assign(result, fields, { endedAt: Date.now(), isKept: call.reusedSocket });
        const isPromise = result.status === 503 || result.status === 429;
        if (isPromise && kind === 'unsafe' && !isRepeat)
          this.onPromise?.({ body, method, path, retryAfter: result.retryAfter });
        resolve(result);
      };
      const call = httpRequest({
        agent: this.agent,
        headers: {
          host: 'registry.example',
          'Peridotspring-Request-Id': id,
          'Peridotspring-Request-Deadline': String(timeLimitMilliseconds),
          ...headers,
        },
        host,
        method,
        path,
        port,
      });
      const timer = setTimeout(() => {
        finish({ outcome: 'gave up' });
        call.destroy();
      }, timeLimitMilliseconds + 300);
      call.on('error', (error) => {
        const outcome =
          error.code === 'ECONNREFUSED' ? 'not connected' : 'closed without an answer';
        finish({ detail: error.code ?? error.message, outcome });
      });
      call.on('response', (response) => {
        result.seenStatus = response.statusCode;
        let text = '';
        response.setEncoding('utf8');
        response.on('data', (chunk) => (text += chunk));
        response.on('error', () => undefined);
        response.on('close', () => {
          if (!response.complete) finish({ outcome: 'closed without an answer' });
          else
            finish({
              body: text,
              outcome: 'answered',
              retryAfter: response.headers['retry-after'],
              signature: response.headers['peridotspring-response-signature'],
              status: response.statusCode,
            });
        });
      });
      call.end(body);
    });
  }

  /**
   * Sends `perSecond` requests for the time; `next` returns what to send, and `choose` on which machine. Resolves when all have
   * ended.
   */
  async sendSteadily(perSecond, milliseconds, next, choose = () => this) {
    const pending = [];
    const startedAt = Date.now();
    for (let count = 0; ; count += 1) {
      const dueAt = startedAt + (count * 1_000) / perSecond;
      if (dueAt - startedAt >= milliseconds) break;
      if (dueAt > Date.now()) await pause(dueAt - Date.now());
      const requesters = choose(count);
      if (this.cluster.isIn(requesters.machine)) pending.push(requesters.send(next(count)));
    }
    await Promise.all(pending);
  }

  close() {
    this.agent.destroy();
  }
}
