import type { RouteServer } from '@peridotspring/callers';
import type { RandomSource } from '@peridotspring/core';
import type { Execution, MemoryAccount, MeshNode } from '@peridotspring/mesh-core';
import type { MeshConnections } from '@peridotspring/nodes';
import type { HealthCheckResult } from '@peridotspring/upstreams/mesh';

import type { ConfigurationPorts } from './configuration-synchronizer.js';
import type { DepartureStore } from './departure-synchronizer.js';
import type { DirectoryStore } from './directory-synchronizer.js';
import type { EventRecorder } from './event-recorder.js';
import type { MeshSettings } from './mesh-settings.js';
import type { DecodedConfiguration } from './platform-adapter.js';
import type { QuarantineStore } from './quarantine-synchronizer.js';

/** Interfaces through which the node acts on callers, other nodes, the server beside it and the store. */
export interface MeshNodePorts {
  readonly callers: Pick<RouteServer, 'configure' | 'inProgress' | 'refuse' | 'respond' | 'stop'>;
  readonly connections: Pick<MeshConnections, 'broadcast' | 'dial' | 'send' | 'tick' | 'whenRead'>;
  readonly server: {
    run(execution: Execution): void;
    abort(executionId: number): void;
    health(path: string): Promise<HealthCheckResult | undefined>;
    isRefusingConnections(): Promise<boolean>;
  };
  readonly store: ConfigurationPorts['store'] & DepartureStore & DirectoryStore & QuarantineStore;
  /** Called when the process may exit. `isPermanent` is true if the server has left too, so its entry is removed. */
  readonly onStopped: (isPermanent: boolean) => void;
}

export interface MeshNodeOptions {
  readonly settings: MeshSettings;
  readonly memory: MemoryAccount;
  /** Counts what is kept for each request beside its body. */
  readonly protocolMemory: MemoryAccount;
  readonly self: MeshNode;
  readonly random: RandomSource;
  readonly clock: () => number;
  /** Time of day in Unix milliseconds. */
  readonly wallClock: () => number;
  /** Start of the process, on the clock. */
  readonly processStartedAt: number;
  readonly events: EventRecorder;
  readonly ports: () => MeshNodePorts;
  /** Runs the action once after the delay; the returned function cancels it. */
  readonly schedule: (action: () => void, milliseconds: number) => () => void;
  /** Runs the action after the current call stack has unwound, before any timer. */
  readonly defer: (action: () => void) => void;
  readonly decodeConfiguration: (content: Uint8Array) => DecodedConfiguration;
}
