// Stand-in of the platform's key-value store: ranges, watches, transactions and removals, as PROTOCOL.md describes them.
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';

export class PlatformStore {
  constructor() {
    this.items = new Map();
    this.history = [];
    this.revision = 1;
    this.watches = new Set();
    this.server = createServer((request, response) => {
      const chunks = [];
      request.on('data', (chunk) => chunks.push(chunk));
      request.on('end', () => this.#handle(request, Buffer.concat(chunks).toString(), response));
    });
  }

  async listen(host, port) {
    await new Promise((resolve) => this.server.listen(port, host, resolve));
  }

  close() {
    for (const watch of this.watches) clearTimeout(watch.timer);
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Writes a key as the operator does. */
  put(key, text) {
    this.#write(key, Buffer.from(text).toString('base64'), 0);
    this.#notify();
  }

  #write(key, value, lease) {
    this.revision += 1;
    const created = this.items.get(key)?.created ?? this.revision;
    const item = { created, key, lease, revision: this.revision, value };
    this.items.set(key, item);
    this.history.push(item);
  }

  #remove(key) {
    if (!this.items.delete(key)) return;
    this.revision += 1;
    this.history.push({ key, removed: true, revision: this.revision });
  }

  #notify() {
    for (const watch of [...this.watches]) {
      const events = this.#eventsOf(watch);
      if (events.length > 0) this.#answerWatch(watch, events);
    }
  }

  #eventsOf({ after, prefix }) {
    return this.history.filter(({ key, revision }) => key.startsWith(prefix) && revision > after);
  }

  #answerWatch(watch, events) {
    clearTimeout(watch.timer);
    this.watches.delete(watch);
    send(watch.response, 200, { at: this.revision, events, has_more: false });
  }

  #handle(request, body, response) {
    const url = new URL(request.url, 'http://store');
    const prefix = url.searchParams.get('prefix') ?? '';
    switch (url.pathname) {
      case '/peridotspring/kv-key': {
        const item = this.items.get(url.searchParams.get('key') ?? '');
        send(response, item === undefined ? 404 : 200, { ...item, at: this.revision });
        return;
      }
      case '/peridotspring/kv-range': {
        const after = url.searchParams.get('after') ?? '';
        const items = [...this.items.values()]
          .filter(({ key }) => key.startsWith(prefix) && key > after)
          .sort((left, right) => (left.key < right.key ? -1 : 1));
        send(response, 200, { at: this.revision, has_more: false, items });
        return;
      }
      case '/peridotspring/kv-watch': {
        const after = Number(url.searchParams.get('after'));
        const watch = { after, prefix, response, timer: undefined };
        const events = this.#eventsOf(watch);
        if (events.length > 0) {
          this.#answerWatch(watch, events);
          return;
        }
        const wait = Math.min(30_000, Number(url.searchParams.get('wait_ms') ?? 0));
        watch.timer = setTimeout(() => this.#answerWatch(watch, []), wait);
        this.watches.add(watch);
        response.on('close', () => {
          clearTimeout(watch.timer);
          this.watches.delete(watch);
        });
        return;
      }
      case '/peridotspring/kv-txn':
        this.#transact(JSON.parse(body), response);
        return;
      default:
        send(response, 404, { error: 'unknown call' });
    }
  }

  #transact({ deletes = [], precondition = [], writes = [] }, response) {
    const revisionOf = (key) => this.items.get(key)?.revision ?? 0;
    if (precondition.some(({ key, revision }) => revisionOf(key) !== revision)) {
      send(response, 412, { items: precondition.map(({ key }) => this.items.get(key)) });
      return;
    }
    for (const { key, value } of writes) this.#write(key, value, 0);
    for (const key of deletes) this.#remove(key);
    send(response, 200, { revision: this.revision });
    this.#notify();
  }
}

function send(response, status, body) {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
}
