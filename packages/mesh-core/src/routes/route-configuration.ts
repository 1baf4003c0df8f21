import type { TenantDirectory } from '../tenants/tenant-directory.js';

/** A service that receives a share of a route's requests. */
export interface WeightedService {
  readonly service: string;
  readonly weight: number;
}

/** A route: the requests for one host whose path has one prefix. */
export interface Route {
  readonly name: string;
  /** Lower case, without a port. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  /** Whether a request may run more than once. */
  readonly idempotent: boolean;
  /** Whether requests need no API key although the configuration declares tenants. */
  readonly isPublic: boolean;
  /** Maximum time that a caller waits for an answer. */
  readonly timeoutMilliseconds: number;
  /** Target latency; an answer that takes longer is worth less to the caller. */
  readonly targetLatencyMilliseconds: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Maximum number of servers to which one request may be sent. */
  readonly maximumAttempts: number;
  readonly split: readonly WeightedService[];
  /** Regions that requests and their bodies must not leave, apart from the node that received them; undefined for any. */
  readonly homeRegions?: readonly string[] | undefined;
}

/** Configuration of one service. */
export interface RoutedService {
  readonly name: string;
  readonly healthPath: string;
  /** Maximum number of connections that one server accepts from all callers together. */
  readonly connectionLimit: number;
  /** How servers behave after their start; undefined if the operator declares nothing about it. */
  readonly coldStart?: ServiceColdStart | undefined;
}

/** For some time after its start, a server bears only a low rate of requests. */
export interface ServiceColdStart {
  readonly durationMilliseconds: number;
  readonly requestsPerSecond: number;
}

/** Limits on the size of a caller's requests, and on how long it may take to send headers or stay idle. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMilliseconds: number;
  readonly idleTimeoutMilliseconds: number;
}

/** The complete routing configuration, at one version. */
export interface RouteConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, RoutedService>;
  readonly limits: CallerLimits;
  /** Undefined if the configuration declares no tenants; then requests need no API key. */
  readonly tenants?: TenantDirectory | undefined;
}
