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

/** Asks for a store operation; its result comes back under the identifier. */
export interface ConfigurationStoreCommand {
  readonly kind: 'store';
  readonly operationId: number;
  readonly operation: StoreOperation;
}

/** Everything that a keeper asks of its surroundings. */
export type ConfigurationCommand =
  | SendConfigurationFrameCommand
  | ConfigurationStoreCommand
  | ConfigurationInForceCommand
  | ProposalConcludedCommand
  | CountCommand
  | LogCommand;

/** Keeps the configuration in force and makes changes to it. */
export interface ConfigurationKeeperContract {
  frame(
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
  revisionSeen(
    server: string,
    revision: number,
    now: ClockReading,
  ): readonly ConfigurationCommand[];
  /** Members of the own availability zone that a new revision is passed on to. */
  setPeers(servers: readonly string[]): void;
  /** Whether this node watches the store's root record. */
  setWatching(watching: boolean, now: ClockReading): readonly ConfigurationCommand[];
  tick(now: ClockReading): readonly ConfigurationCommand[];
  /** Monotonic time at which the next tick is needed. */
  readonly nextTickAt: number;
  readonly inForce: Configuration;
}
