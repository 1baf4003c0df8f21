import { match } from 'ts-pattern';

import type {
  ConfigurationCommand,
  ConfigurationManagerContract,
} from '../configuration/configuration-contract.js';
import type { Configuration } from '../messages/service-configuration.js';
import { StoreClient } from '../messages/store.js';
import type { ClockReading } from '../shared/clock-reading.js';
import type { Outbox } from './outbox.js';

export interface ConfigurationCoordinatorOptions {
  readonly subsystem: ConfigurationManagerContract;
  readonly outbox: Outbox;
  readonly onInForce: (configuration: Configuration, now: ClockReading) => void;
}

/** Carries out the commands of the configuration subsystem. */
export class ConfigurationCoordinator {
  /** Whether this node was watching the store's root record as of the last tick. */
  public isWatching = false;

  public constructor(private readonly options: ConfigurationCoordinatorOptions) {}

  public apply(commands: readonly ConfigurationCommand[], now: ClockReading): void {
    const { onInForce, outbox } = this.options;
    for (const command of commands) {
      match(command)
        .with({ kind: 'send' }, ({ frame, to }) => {
          outbox.reply(to, frame);
        })
        .with({ kind: 'store' }, ({ operation, operationId }) => {
          const client = StoreClient.Configuration;
          outbox.push({ client, kind: 'store', operation, operationId });
        })
        .with({ kind: 'configuration-in-force' }, (change) => {
          outbox.push(change);
          onInForce(change.configuration, now);
        })
        .with({ kind: 'proposal-concluded' }, { kind: 'count' }, { kind: 'log' }, (coreCommand) => {
          outbox.push(coreCommand);
        })
        .exhaustive();
    }
  }

  public tick(isBridge: boolean, now: ClockReading): void {
    const { subsystem } = this.options;
    this.isWatching = isBridge;
    this.apply(subsystem.setWatching(isBridge, now), now);
    this.apply(subsystem.tick(now), now);
  }
}
