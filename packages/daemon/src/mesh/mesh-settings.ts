import type {
  AllotmentTolerance,
  ColdStartTolerance,
  PlacementPolicyOptions,
} from '@peridotspring/mesh-core';

import type { LogLevel } from '../logging/format-line.js';

/** An address to listen on or to connect to. */
export interface HostAndPort {
  readonly host: string;
  readonly port: number;
}

/** Settings of a node that routes by host and path. */
export interface MeshSettings {
  readonly nodeName: string;
  readonly availabilityZone: string;
  readonly region: string;
  /** All regions of the deployment. */
  readonly knownRegions: readonly string[];
  /** The service of the server beside the node. */
  readonly service: string;
  readonly serverAddress: HostAndPort;
  /** Address for requests of callers on the same machine, including the server. */
  readonly callerAddress: HostAndPort;
  readonly peerAddress: HostAndPort;
  readonly readinessAddress: HostAndPort;
  /** Address to which the server sends its reports. */
  readonly reportAddress: HostAndPort;
  readonly storeAddress: HostAndPort;
  readonly repeats: {
    readonly ratio: number;
    readonly slack: number;
    readonly windowMilliseconds: number;
  };
  /** Time within which a change of the configuration must be in force on each node. */
  readonly configurationPropagationMilliseconds: number;
  /**
   * Time after which no request with a removed API key may run on any node, even if the node is cut off; undefined if that
   * is not enforced.
   */
  readonly revocationMilliseconds?: number | undefined;
  /** What tenants may exceed their allotments by. Read at the start only. */
  readonly allotments: AllotmentTolerance;
  readonly coldStartTolerance: ColdStartTolerance;
  /** Interval at which the server reports its state. */
  readonly reportIntervalMilliseconds: number;
  /** Maximum number of load and health probes that the node sends to the server per second. */
  readonly probesPerSecond: number;
  /** Maximum total size of the server's answers that are being read. */
  readonly answerMemoryBytes: number;
  /** Rate of the machine's link; undefined if the platform does not state it. */
  readonly linkMegabitsPerSecond?: number | undefined;
  /** Memory of the machine; the platform ends a process that takes more. */
  readonly machineMemoryBytes: number;
  /** Maximum number of connections of callers. */
  readonly callerConnections: number;
  /** Maximum size of all bodies and answers that the process holds, from callers and other nodes. */
  readonly heldMemoryBytes: number;
  /** Maximum memory of connections, heads of requests, and records of requests. */
  readonly protocolMemoryBytes: number;
  /** Maximum memory of connections to other nodes, beside long frames. */
  readonly peerMemoryBytes: number;
  /** Maximum number of connections at the port for other nodes whose other side has not named itself. */
  readonly unnamedPeerConnections: number;
  /** What the operator sets for the choice of gates; defaults apply to what is not set. */
  readonly placement?: Pick<PlacementPolicyOptions, 'otherZoneCostPerKilobyte'> | undefined;
  /** Time between the stop signal and the forced termination of the process. */
  readonly graceMilliseconds: number;
  readonly logLevel: LogLevel;
  /** Fingerprints of requests whose quarantine the operator ends; each takes effect when it is added. */
  readonly releasedRequests: readonly string[];
}

/** An invalid or missing setting. */
export interface SettingFault {
  readonly field: string;
  readonly expected: string;
}

export type SettingsResult =
  | {
      readonly kind: 'settings';
      readonly settings: MeshSettings;
      /** Unknown fields of the settings source; they are ignored and logged. */
      readonly unknownFields: readonly string[];
    }
  | { readonly kind: 'faults'; readonly faults: readonly SettingFault[] };
