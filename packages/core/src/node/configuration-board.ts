import { match } from 'ts-pattern';

import type {
  ConfigurationCommand,
  ConfigurationKeeperContract,
} from '../configuration/configuration-contract.js';
import type { Configuration } from '../messages/service-configuration.js';
import { StoreClient } from '../messages/store.js';
import type { ClockReading } from '../shared/clock-reading.js';
import type { Outbox } from './outbox.js';

export interface ConfigurationBoardOptions {
  readonly keeper: ConfigurationKeeperContract;
  readonly outbox: Outbox;
  readonly inForce: (configuration: Configuration, now: ClockReading) => void;
}

/** Carries out what the configuration keeper decides. */
export class ConfigurationBoard {
  /** Whether this node watched the store's root record at the last tick. */
  public isWatching = false;

  public constructor(private readonly options: ConfigurationBoardOptions) {}

  public apply(commands: readonly ConfigurationCommand[], now: ClockReading): void {
    const { inForce, outbox } = this.options;
    for (const command of commands) {
      match(command)
        .with({ kind: 'send' }, ({ frame, to }) => {
          outbox.reply(to, frame);
        })
        .with({ kind: 'store' }, ({ operation, operationId }) => {
          const client = StoreClient.Configuration;
          outbox.push({ client, kind: 'store', operation, operationId });
        })
        .with({ kind: 'configuration-in-force' }, (changed) => {
          outbox.push(changed);
          inForce(changed.configuration, now);
        })
        .with({ kind: 'proposal-concluded' }, { kind: 'count' }, { kind: 'log' }, (own) => {
          outbox.push(own);
        })
        .exhaustive();
    }
  }

  public tick(isBridge: boolean, now: ClockReading): void {
    const { keeper } = this.options;
    this.isWatching = isBridge;
    this.apply(keeper.setWatching(isBridge, now), now);
    this.apply(keeper.tick(now), now);
  }
}
