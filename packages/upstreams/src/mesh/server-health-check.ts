import { request as httpRequest } from 'node:http';
import type { Agent, IncomingMessage } from 'node:http';

import { containError } from '@peridotspring/core';
import { findStatusFault } from '@peridotspring/mesh-core';
import type { ServerLoad } from '@peridotspring/mesh-core';

import { readAllFields } from '../all-fields.js';
import { limitInterimResponses } from '../interim-responses.js';
import { ResponseCollector } from '../response-collector.js';
import type { ServerResponseReader } from './server-response-reader.js';

/** Limit for a whole health check, including the response body. */
const timeoutMilliseconds = 1_000;
/** A health check uses the status and header fields only; a larger body fails the check. */
const collectionOptions = { limitBytes: 16_384, overflowAction: 'close' } as const;

/** The result of a health check: which server responded, and whether it accepts requests. */
export interface HealthCheckResult {
  readonly instanceId: string | undefined;
  readonly isReady: boolean;
  readonly load: ServerLoad | undefined;
  /** Time for which the server stays cold, 0 if it is not cold; undefined if the response does not show it. */
  readonly coldMilliseconds: number | undefined;
}

export interface HealthCheckTarget {
  readonly agent: Agent;
  readonly host: string;
  readonly port: number;
  readonly path: string;
}

/** Sends one health check; resolves to `undefined` if it fails or times out. */
export async function checkHealth(
  target: HealthCheckTarget,
  reader: ServerResponseReader,
  onErrorContained: (error: Error) => void,
): Promise<HealthCheckResult | undefined> {
  return new Promise((resolve) => {
    const request = httpRequest({ ...target }, (response) => {
      const collector = new ResponseCollector(
        response,
        collectionOptions,
        ({ kind }) => {
          const { statusCode = 0 } = response;
          if (kind !== 'whole' || findStatusFault(statusCode) !== undefined) resolve(undefined);
          else resolve(readResult(response, reader, onErrorContained));
        },
        () => {
          clearTimeout(timer);
        },
      );
      collector.start();
    });
    readAllFields(request);
    limitInterimResponses(request);
    // A total timeout rather than an idle timeout: the server may send bytes rarely but endlessly.
    const timer = setTimeout(() => {
      resolve(undefined);
      request.destroy();
    }, timeoutMilliseconds);
    // The response resolves the promise; without one, 'close' does, which also follows an 'error'.
    request.on('error', () => undefined);
    request.on('close', () => {
      clearTimeout(timer);
      resolve(undefined);
    });
    request.end();
  });
}

function readResult(
  response: IncomingMessage,
  reader: ServerResponseReader,
  onErrorContained: (error: Error) => void,
): HealthCheckResult | undefined {
  let result: HealthCheckResult | undefined;
  containError(() => {
    result = {
      coldMilliseconds: reader.coldTime(response),
      instanceId: reader.instanceId(response),
      isReady: response.statusCode === 200,
      load: reader.load(response),
    };
  }, onErrorContained);
  return result;
}
