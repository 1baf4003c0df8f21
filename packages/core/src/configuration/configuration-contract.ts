import type { ConfigurationFrame } from '../messages/frames.js';
import type {
  ConfigurationInForceCommand,
  CountCommand,
  LogCommand,
  ProposalConcludedCommand,
} from '../messages/core-command.js';
import type { ProposeConfigurationMessage } from '../messages/core-message.js';
import type { Configuration } from '../messages/service-configuration.js';
import type { StoreOperation, StoreResult } from '../messages/store.js';
import type { ClockReading } from '../shared/clock-reading.js';

/** Sends a frame to another node. */
export interface SendConfigurationFrameCommand {
  readonly kind: 'send';
  readonly to: string;
  readonly frame: ConfigurationFrame;
}

/** Requests a store operation; its result is passed to `storeResult` with the same identifier. */
export interface ConfigurationStoreCommand {
  readonly kind: 'store';
  readonly operationId: number;
  readonly operation: StoreOperation;
}

/** The commands that a configuration manager returns for its node to carry out. */
export type ConfigurationCommand =
  | SendConfigurationFrameCommand
  | ConfigurationStoreCommand
  | ConfigurationInForceCommand
  | ProposalConcludedCommand
  | CountCommand
  | LogCommand;

/** Maintains the configuration in force and commits proposed changes to it. */
export interface ConfigurationManagerContract {
  handleFrame(
    from: string,
    frame: ConfigurationFrame,
    now: ClockReading,
  ): readonly ConfigurationCommand[];
  storeResult(
    operationId: number,
    result: StoreResult,
    now: ClockReading,
  ): readonly ConfigurationCommand[];
  propose(message: ProposeConfigurationMessage, now: ClockReading): readonly ConfigurationCommand[];
  onRevisionObserved(
    server: string,
    revision: number,
    now: ClockReading,
  ): readonly ConfigurationCommand[];
  /** Sets the nodes of the own availability zone to which new revisions are announced. */
  setPeers(servers: readonly string[]): void;
  /** Sets whether this node watches the root record in the store. */
  setWatching(watching: boolean, now: ClockReading): readonly ConfigurationCommand[];
  tick(now: ClockReading): readonly ConfigurationCommand[];
  /** Monotonic time at which the next tick is needed. */
  readonly nextTickAt: number;
  readonly inForce: Configuration;
}
