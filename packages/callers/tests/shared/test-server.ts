import type {
  CallerDisconnectedMessage,
  CallerRequestMessage,
  Configuration,
  RequestClass,
} from '@peridotspring/core';
import { emptyConfiguration, serviceDefaults } from '@peridotspring/core';

import { createLoopbackOptions } from '@peridotspring/http-server/fixtures';
import type { ClientFault } from '@peridotspring/mesh-core';

import { CallerServer } from '../../src/index.js';
import type { CallerLimits, FinishedRequest } from '../../src/index.js';

export const testLimits: CallerLimits = {
  bodyBytes: 1_000_000,
  connections: 100,
  headerBytes: 4_096,
  headersTimeoutMilliseconds: 10_000,
  idleTimeoutMilliseconds: 10_000,
  bufferedBodyBytes: 1_024,
  keyedBodyBytes: 2_048,
  requestTimeoutMilliseconds: 10_000,
  requests: 50,
};

const idempotent: RequestClass = 'idempotent';
const nonIdempotent: RequestClass = 'non-idempotent';

export const testConfiguration: Configuration = {
  ...emptyConfiguration,
  revision: 1,
  services: {
    retirement: {
      ...serviceDefaults,
      name: 'retirement',
      maximumBodyBytes: 100,
      requestKinds: [
        { method: 'PUT', name: 'upload', pathPrefix: '/', requestClass: idempotent },
        { method: 'POST', name: 'retire', pathPrefix: '/', requestClass: nonIdempotent },
      ],
    },
    provenance: {
      ...serviceDefaults,
      name: 'provenance',
      requestKinds: [
        { method: 'PUT', name: 'upload', pathPrefix: '/', requestClass: idempotent },
        { method: 'POST', name: 'issue', pathPrefix: '/issue', requestClass: nonIdempotent },
      ],
    },
  },
};

export class TestServer {
  public readonly delivered: (CallerRequestMessage | CallerDisconnectedMessage)[] = [];
  public readonly finished: FinishedRequest[] = [];
  public readonly faults: ClientFault[] = [];
  public isStopping = false;
  public port = 0;
  public readonly callers: CallerServer;
  /** Called for each request; tests set it to answer the request. */
  public onRequest: (request: CallerRequestMessage) => void = () => undefined;

  public constructor(limits: Partial<CallerLimits> = {}, memoryBytes?: number) {
    this.callers = new CallerServer({
      ...createLoopbackOptions(memoryBytes),
      onClientFault: (fault) => this.faults.push(fault),
      configuration: () => testConfiguration,
      defaultTenant: 'default',
      deliver: (message) => {
        this.delivered.push(message);
        if (message.kind === 'caller-request') {
          this.onRequest(message);
        }
      },
      onFinished: (request) => this.finished.push(request),
      isStopping: () => this.isStopping,
      limits: { ...testLimits, ...limits },
      requestIdPrefix: 'test',
    });
  }

  public async start(): Promise<void> {
    this.port = await this.callers.listen();
  }

  public get requests(): readonly CallerRequestMessage[] {
    return this.delivered.filter((message) => message.kind === 'caller-request');
  }
}
