// Stand-in of the platform's key-value store: the calls of PROTOCOL.md that the nodes use.
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { setTimeout, clearTimeout } from 'node:timers';

export class Store {
  items = new Map();
  removals = new Map();
  watches = new Set();
  revision = 1;

  constructor() {
    this.server = createServer((request, response) => {
      const chunks = [];
      request.on('error', () => undefined);
      request.on('data', (chunk) => chunks.push(chunk));
      request.on('end', () => this.handle(request, response, Buffer.concat(chunks).toString()));
    });
  }

  listen(host) {
    return new Promise((resolve) => {
      this.server.listen(0, host, () => resolve(`${host}:${this.server.address().port}`));
    });
  }

  close() {
    for (const watch of this.watches) clearTimeout(watch.timer);
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Writes a key as the operator does; the return is the confirmation. */
  put(key, text) {
    this.write(key, Buffer.from(text).toString('base64'), 0);
    this.answerWatches();
  }

  write(key, value, lease) {
    this.revision += 1;
    const created = this.items.get(key)?.created ?? this.revision;
    this.items.set(key, { created, key, lease, revision: this.revision, value });
    this.removals.delete(key);
  }

  remove(key) {
    if (!this.items.delete(key)) return;
    this.revision += 1;
    this.removals.set(key, { key, removed: true, revision: this.revision });
  }

  handle(request, response, body) {
    const url = new URL(request.url, 'http://store');
    const send = (status, content) => {
      response.writeHead(status, { 'content-type': 'application/json', 'store-era': '1' });
      response.end(JSON.stringify(content));
    };
    const call = `${request.method} ${url.pathname}`;
    const prefix = url.searchParams.get('prefix') ?? '';
    if (call === 'GET /peridotspring/kv-key') {
      const item = this.items.get(url.searchParams.get('key'));
      if (item === undefined) send(404, { at: this.revision });
      else send(200, { ...item, at: this.revision });
    } else if (call === 'GET /peridotspring/kv-range') {
      const after = url.searchParams.get('after') ?? '';
      const items = [...this.items.values()]
        .filter(({ key }) => key.startsWith(prefix) && key > after)
        .sort((first, second) => (first.key < second.key ? -1 : 1));
      send(200, { at: this.revision, has_more: false, items });
    } else if (call === 'GET /peridotspring/kv-watch') {
      const watch = { after: Number(url.searchParams.get('after')), prefix, send };
      watch.timer = setTimeout(
        () => {
          this.watches.delete(watch);
          send(200, { at: this.revision, events: [] });
        },
        Number(url.searchParams.get('wait_ms')),
      );
      this.watches.add(watch);
      response.on('close', () => {
        clearTimeout(watch.timer);
        this.watches.delete(watch);
      });
      this.answerWatches();
    } else if (call === 'POST /peridotspring/kv-txn') {
      const { deletes = [], precondition = [], writes = [] } = JSON.parse(body);
      const differs = ({ key, revision }) => (this.items.get(key)?.revision ?? 0) !== revision;
      if (precondition.some(differs)) {
        const current = precondition.map(({ key }) => this.items.get(key)).filter(Boolean);
        send(412, { items: current });
        return;
      }
      for (const { key, lease, value } of writes) this.write(key, value, lease);
      for (const key of deletes) this.remove(key);
      send(200, { revision: this.revision });
      this.answerWatches();
    } else send(404, {});
  }

  answerWatches() {
    for (const watch of this.watches) {
      const events = [...this.items.values(), ...this.removals.values()].filter(
        ({ key, revision }) => key.startsWith(watch.prefix) && revision > watch.after,
      );
      if (events.length === 0) continue;
      clearTimeout(watch.timer);
      this.watches.delete(watch);
      watch.send(200, { at: this.revision, events });
    }
  }
}
