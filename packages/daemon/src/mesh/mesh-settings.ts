import type { LogLevel } from '../logging/format-line.js';

/** An address that a process listens on or connects to. */
export interface HostAndPort {
  readonly host: string;
  readonly port: number;
}

/** What a node that routes by host and path is told at its start. */
export interface MeshSettings {
  readonly nodeName: string;
  readonly availabilityZone: string;
  readonly region: string;
  /** The service of the server beside the node. */
  readonly service: string;
  readonly serverAddress: HostAndPort;
  /** Callers on the machine, and the server, send their requests here. */
  readonly callerAddress: HostAndPort;
  readonly peerAddress: HostAndPort;
  readonly readinessAddress: HostAndPort;
  /** The server tells of itself here. */
  readonly reportAddress: HostAndPort;
  readonly storeAddress: HostAndPort;
  readonly repeats: {
    readonly ratio: number;
    readonly slack: number;
    readonly windowMilliseconds: number;
  };
  /** Questions for the server's load and health that the node may ask in a second. */
  readonly probesPerSecond: number;
  /** Bound on what all answers of the server that are being read hold together. */
  readonly answerMemoryBytes: number;
  /** Time between the signal to stop and the end of the process by force. */
  readonly graceMilliseconds: number;
  readonly logLevel: LogLevel;
}

/** One setting that can't be used. */
export interface SettingFault {
  readonly field: string;
  readonly expected: string;
}

export type SettingsResult =
  | {
      readonly kind: 'settings';
      readonly settings: MeshSettings;
      /** Fields of the source that nobody knows; they are ignored and named in the log. */
      readonly unknownFields: readonly string[];
    }
  | { readonly kind: 'faults'; readonly faults: readonly SettingFault[] };
