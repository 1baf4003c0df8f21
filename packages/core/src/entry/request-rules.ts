import type { Configuration, ServiceConfiguration } from '../messages/service-configuration.js';
import { RefusalReason, RequestClass } from '../messages/outcome.js';

/**
 * Maximum depth of a chain of calls, which stops loops between services; real chains are up to 10
 * deep.
 */
export const maximumDepth = 16;
/** Maximum length of `Idempotency-Key` in characters. */
export const maximumKeyLength = 128;

/** The parts of a caller's request that are validated, as received. */
export interface RawRequest {
  readonly method: string;
  /** Path and query as received. */
  readonly url: string;
  readonly key: string | undefined;
  readonly deadline: string | undefined;
  readonly depth: string | undefined;
}

/** A valid request. */
export interface AcceptedRequest {
  readonly kind: 'accepted';
  readonly service: string;
  readonly path: string;
  readonly requestKind: string;
  readonly requestClass: RequestClass;
  readonly deadlineMilliseconds: number;
  readonly depth: number;
  /** Present for non-idempotent requests. */
  readonly key: string | undefined;
}

/** An invalid request; the detail names the field and what is accepted. */
export interface RejectedRequest {
  readonly kind: 'rejected';
  readonly reason: RefusalReason;
  readonly detail: string;
  /** Present if the service is declared; the answer to a keyed request depends on it. */
  readonly requestClass?: RequestClass | undefined;
  /** Present if the path names a declared service. */
  readonly service?: string | undefined;
}

function rejected(reason: RefusalReason, detail: string): RejectedRequest {
  return { detail, kind: 'rejected', reason };
}

/** Splits `/<service>/<path>` into the service and the path that the upstream sees. */
function splitUrl(url: string): { readonly service: string; readonly path: string } {
  const match = /^\/([^/?#]*)(.*)$/s.exec(url);
  const service = match?.[1] ?? '';
  const rest = match?.[2] ?? '';
  return { path: rest.startsWith('/') ? rest : `/${rest}`, service };
}

/**
 * Returns the kind and class of a request; without a declared kind only GET and HEAD are
 * idempotent.
 */
export function classifyRequest(
  service: ServiceConfiguration,
  method: string,
  path: string,
): { readonly requestKind: string; readonly requestClass: RequestClass } {
  for (const kind of service.requestKinds) {
    const matchesMethod = kind.method === '*' || kind.method === method;
    if (matchesMethod && path.startsWith(kind.pathPrefix)) {
      return { requestClass: kind.requestClass, requestKind: kind.name };
    }
  }
  const isRead = method === 'GET' || method === 'HEAD';
  return {
    requestClass: isRead ? RequestClass.Idempotent : RequestClass.NonIdempotent,
    requestKind: 'undeclared',
  };
}

function parseDeadline(
  text: string | undefined,
  service: ServiceConfiguration,
): number | RejectedRequest {
  if (text === undefined) {
    return service.defaultDeadlineMilliseconds;
  }
  const value = /^\d{1,9}$/.test(text) ? Number(text) : 0;
  if (value < 1 || value > service.maximumDeadlineMilliseconds) {
    return rejected(
      RefusalReason.DeadlineMalformed,
      `Peridotspring-Deadline-Ms must be a whole number of milliseconds from 1 to ${service.maximumDeadlineMilliseconds}`,
    );
  }
  return value;
}

function parseDepth(text: string | undefined): number | RejectedRequest {
  if (text === undefined) {
    return 0;
  }
  const value = /^\d{1,4}$/.test(text) ? Number(text) : Number.POSITIVE_INFINITY;
  if (value > maximumDepth) {
    return rejected(
      RefusalReason.DepthExceeded,
      `Peridotspring-Depth must be a whole number from 0 to ${maximumDepth}`,
    );
  }
  return value;
}

function checkKey(text: string | undefined): string | RejectedRequest {
  if (text === undefined) {
    return rejected(
      RefusalReason.KeyMissing,
      'Idempotency-Key is required for a non-idempotent request',
    );
  }
  if (text.length > maximumKeyLength || !/^[\x21-\x7e]+$/.test(text)) {
    return rejected(
      RefusalReason.KeyMalformed,
      `Idempotency-Key must be 1 to ${maximumKeyLength} visible ASCII characters`,
    );
  }
  return text;
}

/** Validates a caller's request against the configuration in force. */
export function checkRequest(
  raw: RawRequest,
  configuration: Configuration,
): AcceptedRequest | RejectedRequest {
  const { path, service: name } = splitUrl(raw.url);
  const service = Object.hasOwn(configuration.services, name)
    ? configuration.services[name]
    : undefined;
  if (service === undefined) {
    return rejected(
      RefusalReason.UnknownService,
      `service ${JSON.stringify(name.slice(0, 64))} is not declared; the path must start with /<service>/`,
    );
  }
  const { requestClass, requestKind } = classifyRequest(service, raw.method, path);
  const key = requestClass === RequestClass.NonIdempotent ? checkKey(raw.key) : undefined;
  if (typeof key === 'object') {
    return { ...key, requestClass, service: name };
  }
  const deadlineMilliseconds = parseDeadline(raw.deadline, service);
  if (typeof deadlineMilliseconds !== 'number') {
    return { ...deadlineMilliseconds, requestClass, service: name };
  }
  const depth = parseDepth(raw.depth);
  if (typeof depth !== 'number') {
    return { ...depth, requestClass, service: name };
  }
  return {
    deadlineMilliseconds,
    depth,
    key,
    kind: 'accepted',
    path,
    requestClass,
    requestKind,
    service: name,
  };
}
