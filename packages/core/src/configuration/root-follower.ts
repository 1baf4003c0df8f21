import type { StoreEntry } from '../messages/store.js';
import { BackOff } from '../shared/back-off.js';
import type { ClockReading } from '../shared/clock-reading.js';
import type { RandomSource } from '../shared/random-source.js';
import type { StoreRequests } from '../shared/store-requests.js';
import type { Timers } from '../shared/timers.js';
import type { ConfigurationHistory } from './configuration-history.js';
import type { ConfigurationDistributor } from './configuration-distributor.js';
import type { RootLoader } from './root-loader.js';
import { decodeRoot, rootKey } from './store-layout.js';

/**
 * Time to wait for peers to send a revision before reading the whole configuration from the store.
 */
const peerDeliveryTimeoutMilliseconds = 1_000;
/** Interval at which watching nodes also read the root, because a watch result can be lost. */
const rootReadIntervalMilliseconds = 60_000;

/** Dependencies of a root follower. */
export interface RootFollowerDependencies {
  readonly requests: StoreRequests;
  readonly timers: Timers;
  readonly history: ConfigurationHistory;
  readonly loader: RootLoader;
  readonly distributor: ConfigurationDistributor;
  readonly random: RandomSource;
  readonly logWarning: (event: string, fields: Readonly<Record<string, string | number>>) => void;
}

/** Watches the root record and has the configuration that it refers to put in force. */
export class RootFollower {
  private watchGeneration = 0;
  private isWatching = false;
  private readonly backOff: BackOff;

  public constructor(private readonly dependencies: RootFollowerDependencies) {
    this.backOff = new BackOff(dependencies.random, 200, 2_000);
  }

  public setWatching(watching: boolean, now: ClockReading): void {
    if (watching === this.isWatching) return;
    this.isWatching = watching;
    this.watchGeneration += 1;
    if (!watching) return;
    this.watch(0, this.watchGeneration, now);
    this.scheduleRead(this.watchGeneration, now);
  }

  /** Fetches the configuration of a root record, from peers or from the store. */
  public follow(entry: StoreEntry, now: ClockReading): void {
    const { history, loader, distributor, timers } = this.dependencies;
    const root = decodeRoot(entry.value);
    if (root === undefined) {
      this.dependencies.logWarning('malformed-root', { version: entry.version });
      return;
    }
    if (root.revision < history.current.revision) return;
    if (root.revision === history.current.revision) {
      loader.adopt(root, history.current);
      return;
    }
    if (loader.canLoadIncrementally || !distributor.hasPeers) {
      loader.start(root, now);
      return;
    }
    distributor.pullFromPeers();
    timers.schedule(now, peerDeliveryTimeoutMilliseconds, (later) => {
      if (root.revision > history.current.revision) loader.start(root, later);
    });
  }

  /** Schedules another read of the root, for example after a record that it refers to was missing. */
  public scheduleReread(now: ClockReading): void {
    this.dependencies.timers.schedule(now, this.backOff.nextDelay(), (later) => {
      this.read(later);
    });
  }

  private read(now: ClockReading): void {
    this.dependencies.requests.start({ kind: 'read', key: rootKey }, now, (result, later) => {
      if (result.kind === 'found') this.follow(result.entry, later);
      else if (result.kind === 'unknown') this.scheduleReread(later);
    });
  }

  private watch(afterVersion: number, generation: number, now: ClockReading): void {
    const operation = { kind: 'watch', key: rootKey, afterVersion } as const;
    this.dependencies.requests.start(operation, now, (result, later) => {
      if (generation !== this.watchGeneration) return;
      if (result.kind === 'found') {
        this.backOff.reset();
        this.follow(result.entry, later);
        this.watch(Math.max(afterVersion, result.entry.version), generation, later);
        return;
      }
      this.dependencies.timers.schedule(later, this.backOff.nextDelay(), (retryTime) => {
        if (generation === this.watchGeneration) this.watch(afterVersion, generation, retryTime);
      });
    });
  }

  private scheduleRead(generation: number, now: ClockReading): void {
    this.dependencies.timers.schedule(now, rootReadIntervalMilliseconds, (later) => {
      if (generation !== this.watchGeneration) return;
      this.read(later);
      this.scheduleRead(generation, later);
    });
  }
}
