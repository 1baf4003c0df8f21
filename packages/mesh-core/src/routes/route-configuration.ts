/** A service that receives a share of a route's requests. */
export interface WeightedService {
  readonly service: string;
  readonly weight: number;
}

/** Requests of one host below one path prefix. */
export interface Route {
  readonly name: string;
  /** Lower case, without a port. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  /** Whether a request may run more than once. */
  readonly idempotent: boolean;
  /** Longest time that a caller is kept waiting. */
  readonly timeoutMilliseconds: number;
  /** Time within which an answer has its full value for the caller. */
  readonly targetLatencyMilliseconds: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Servers to which one request may be sent at most. */
  readonly maximumAttempts: number;
  readonly split: readonly WeightedService[];
}

/** What operators declare of one service. */
export interface RoutedService {
  readonly name: string;
  readonly healthPath: string;
  /** Connections that one server accepts from all callers together. */
  readonly connectionLimit: number;
}

/** What a caller may send, and how long it may take or stay idle. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMilliseconds: number;
  readonly idleTimeoutMilliseconds: number;
}

/** Everything that operators declare, at one version. */
export interface RouteConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, RoutedService>;
  readonly limits: CallerLimits;
}
