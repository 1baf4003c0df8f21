import type { ServerResponse } from 'node:http';
import type { z } from 'zod';

import {
  PlatformKeyValues,
  type KeyValueEvent,
  type StoredKeyValue,
} from './platform-key-values.js';
import {
  leaseGrantRequest,
  leaseRequest,
  rangeRequest,
  transactionRequest,
  watchRequest,
  type RequestOperation,
  type TransactionRequest,
} from './platform-requests.js';

/** Values above this many bytes are refused, as the platform's limit says. */
const maximumValueBytes = 1_000_000;
/** The published default limit on the operations of one branch of a transaction. */
const maximumTransactionOperations = 128;

/** Status and JSON body of an answer. */
export interface GatewayAnswer {
  readonly status: number;
  readonly body: unknown;
}

/** A request that the gateway refuses; the message follows the published error texts. */
class GatewayError extends Error {
  public override readonly name = 'GatewayError';
}

interface OpenWatch {
  readonly key: string;
  readonly response: ServerResponse;
}

/** Translates between the gateway's JSON and the key-value service. */
export class PlatformGateway {
  /** Watches stay open and carry nothing while this is set. */
  public muted = false;
  private readonly watches = new Set<OpenWatch>();
  private readonly keyValues = new PlatformKeyValues((event) => {
    this.publish(event);
  });

  public get openWatches(): number {
    return this.watches.size;
  }

  /** Carries out one call and returns its answer. */
  public answer(path: string, body: string): GatewayAnswer {
    try {
      return { status: 200, body: this.carryOut(path, body) };
    } catch (error) {
      if (!(error instanceof GatewayError)) throw error;
      return { status: 400, body: { code: 3, message: error.message, error: error.message } };
    }
  }

  /** Opens a watch stream; past changes are not replayed, only the newest value. */
  public watch(body: string, response: ServerResponse): void {
    const parsed = watchRequest.safeParse(JSON.parse(body));
    if (!parsed.success) {
      response.writeHead(400).end();
      return;
    }
    const { key, start_revision: startRevision } = parsed.data.create_request;
    const watch: OpenWatch = { key, response };
    this.watches.add(watch);
    response.on('close', () => this.watches.delete(watch));
    response.writeHead(200, { 'content-type': 'application/json' });
    this.sendLine(watch, { created: true });
    const entry = this.keyValues.get(key);
    const from = Number(startRevision);
    if (entry !== undefined && from > 0 && entry.modRevision >= from) {
      this.sendLine(watch, { events: [{ kv: toGateway(entry) }] });
    }
  }

  public cutWatches(): void {
    for (const watch of this.watches) {
      watch.response.destroy();
    }
  }

  /** Lets one lease lapse, or all of them. */
  public lapse(lease: string | undefined): void {
    if (lease === undefined) this.keyValues.endAllLeases();
    else this.keyValues.endLease(lease);
  }

  public close(): void {
    this.cutWatches();
    this.keyValues.close();
  }

  private carryOut(path: string, body: string): unknown {
    switch (path) {
      case '/v3/kv/range':
        return this.range(parse(rangeRequest, body));
      case '/v3/kv/txn':
        return this.transaction(parse(transactionRequest, body));
      case '/v3/lease/grant': {
        const seconds = Number(parse(leaseGrantRequest, body).TTL);
        return { header: this.header(), ID: this.keyValues.grantLease(seconds), TTL: `${seconds}` };
      }
      case '/v3/lease/keepalive': {
        const { ID } = parse(leaseRequest, body);
        const seconds = this.keyValues.keepAlive(ID);
        return { result: { header: this.header(), ID, ...(seconds > 0 && { TTL: `${seconds}` }) } };
      }
      case '/v3/lease/revoke':
      case '/v3/kv/lease/revoke':
        if (!this.keyValues.endLease(parse(leaseRequest, body).ID)) {
          throw new GatewayError('etcdserver: requested lease not found');
        }
        return { header: this.header() };
      default:
        throw new GatewayError(`no such call: ${path}`);
    }
  }

  private range(request: z.output<typeof rangeRequest>): unknown {
    const single = this.keyValues.get(request.key);
    const entries =
      request.range_end === ''
        ? single === undefined
          ? []
          : [single]
        : this.keyValues.range(request.key, request.range_end);
    if (entries.length === 0) return { header: this.header() };
    const limit = Number(request.limit);
    const found = limit > 0 ? entries.slice(0, limit) : entries;
    return {
      header: this.header(),
      kvs: found.map((entry) => toGateway(request.keys_only ? { ...entry, value: '' } : entry)),
      count: String(entries.length),
      ...(found.length < entries.length && { more: true }),
    };
  }

  private transaction(request: TransactionRequest): unknown {
    for (const branch of [request.compare, request.success, request.failure]) {
      if (branch.length > maximumTransactionOperations) {
        throw new GatewayError('etcdserver: too many operations in txn request');
      }
    }
    const succeeded = request.compare.every(
      (compare) => (this.keyValues.get(compare.key)?.version ?? 0) === Number(compare.version),
    );
    const operations = succeeded ? request.success : request.failure;
    this.checkPuts(operations);
    const responses = operations.map((operation) => {
      if ('requestPut' in operation) {
        const { key, value, lease } = operation.requestPut;
        this.keyValues.put(key, value, lease);
        return { response_put: { header: this.header() } };
      }
      if ('requestDeleteRange' in operation) {
        const deleted = this.keyValues.delete(operation.requestDeleteRange.key) ? 1 : 0;
        const body = { header: this.header(), ...(deleted > 0 && { deleted: String(deleted) }) };
        return { response_delete_range: body };
      }
      return { response_range: this.range(operation.requestRange) };
    });
    // The gateway leaves out fields with their default value.
    return { header: this.header(), ...(succeeded && { succeeded }), responses };
  }

  private checkPuts(operations: readonly RequestOperation[]): void {
    for (const operation of operations) {
      if (!('requestPut' in operation)) continue;
      const { value, lease } = operation.requestPut;
      if (Buffer.byteLength(value, 'base64') > maximumValueBytes) {
        throw new GatewayError('etcdserver: request is too large');
      }
      if (lease !== '0' && !this.keyValues.hasLease(lease)) {
        throw new GatewayError('etcdserver: requested lease not found');
      }
    }
  }

  private publish(event: KeyValueEvent): void {
    const type = event.type === 'DELETE' ? { type: event.type } : {};
    for (const watch of this.watches) {
      if (watch.key === event.entry.key) {
        this.sendLine(watch, { events: [{ ...type, kv: toGateway(event.entry) }] });
      }
    }
  }

  private sendLine(watch: OpenWatch, result: object): void {
    if (this.muted) return;
    watch.response.write(`${JSON.stringify({ result: { header: this.header(), ...result } })}\n`);
  }

  private header(): object {
    return {
      cluster_id: '14841639068965178418',
      member_id: '10276657743932975437',
      revision: String(this.keyValues.revision),
      raft_term: '2',
    };
  }
}

function parse<Schema extends z.ZodType>(schema: Schema, body: string): z.output<Schema> {
  try {
    const parsed = schema.safeParse(JSON.parse(body));
    if (parsed.success) return parsed.data;
    throw new GatewayError(parsed.error.message);
  } catch (error) {
    if (error instanceof SyntaxError) throw new GatewayError(error.message);
    throw error;
  }
}

function toGateway(entry: StoredKeyValue): object {
  return {
    key: entry.key,
    create_revision: String(entry.createRevision),
    mod_revision: String(entry.modRevision),
    version: String(entry.version),
    value: entry.value,
    ...(entry.lease !== '0' && { lease: entry.lease }),
  };
}
