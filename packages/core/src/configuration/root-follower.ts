import type { StoreEntry } from '../messages/store.js';
import { BackOff } from '../shared/back-off.js';
import type { ClockReading } from '../shared/clock-reading.js';
import type { RandomSource } from '../shared/random-source.js';
import type { StoreRequests } from '../shared/store-requests.js';
import type { Timers } from '../shared/timers.js';
import type { ConfigurationHistory } from './configuration-history.js';
import type { ConfigurationSpreader } from './configuration-spreader.js';
import type { RootLoader } from './root-loader.js';
import { decodeRoot, rootKey } from './store-layout.js';

/** Time for peers to deliver a revision before a node reads the whole configuration itself. */
const peerGraceMilliseconds = 1_000;
/** A watch result can be lost on its way, so watchers also read the root this often. */
const readIntervalMilliseconds = 60_000;

/** What the follower works with. */
export interface RootFollowerParts {
  readonly requests: StoreRequests;
  readonly timers: Timers;
  readonly history: ConfigurationHistory;
  readonly loader: RootLoader;
  readonly spreader: ConfigurationSpreader;
  readonly random: RandomSource;
  readonly report: (event: string, fields: Readonly<Record<string, string | number>>) => void;
}

/** Watches the root record and brings what it refers to into force. */
export class RootFollower {
  private watchGeneration = 0;
  private isWatching = false;
  private readonly backOff: BackOff;

  public constructor(private readonly parts: RootFollowerParts) {
    this.backOff = new BackOff(parts.random, 200, 2_000);
  }

  public setWatching(watching: boolean, now: ClockReading): void {
    if (watching === this.isWatching) return;
    this.isWatching = watching;
    this.watchGeneration += 1;
    if (!watching) return;
    this.watch(0, this.watchGeneration, now);
    this.scheduleRead(this.watchGeneration, now);
  }

  /** Brings the configuration of a root record into force, from peers or from the store. */
  public follow(entry: StoreEntry, now: ClockReading): void {
    const { history, loader, spreader, timers } = this.parts;
    const root = decodeRoot(entry.value);
    if (root === undefined) {
      this.parts.report('malformed-root', { version: entry.version });
      return;
    }
    if (root.revision < history.current.revision) return;
    if (root.revision === history.current.revision) {
      loader.adopt(root, history.current);
      return;
    }
    if (loader.isWarm || !spreader.hasPeers) {
      loader.start(root, now);
      return;
    }
    spreader.pullFromPeers();
    timers.after(now, peerGraceMilliseconds, (later) => {
      if (root.revision > history.current.revision) loader.start(root, later);
    });
  }

  /** Reads the root again after a record that it refers to was missing. */
  public reread(now: ClockReading): void {
    this.parts.timers.after(now, this.backOff.next(), (later) => {
      this.read(later);
    });
  }

  private read(now: ClockReading): void {
    this.parts.requests.start({ kind: 'read', key: rootKey }, now, (result, later) => {
      if (result.kind === 'found') this.follow(result.entry, later);
      else if (result.kind === 'unknown') this.reread(later);
    });
  }

  private watch(afterVersion: number, generation: number, now: ClockReading): void {
    const operation = { kind: 'watch', key: rootKey, afterVersion } as const;
    this.parts.requests.start(operation, now, (result, later) => {
      if (generation !== this.watchGeneration) return;
      if (result.kind === 'found') {
        this.backOff.reset();
        this.follow(result.entry, later);
        this.watch(Math.max(afterVersion, result.entry.version), generation, later);
        return;
      }
      this.parts.timers.after(later, this.backOff.next(), (retryTime) => {
        if (generation === this.watchGeneration) this.watch(afterVersion, generation, retryTime);
      });
    });
  }

  private scheduleRead(generation: number, now: ClockReading): void {
    this.parts.timers.after(now, readIntervalMilliseconds, (later) => {
      if (generation !== this.watchGeneration) return;
      this.read(later);
      this.scheduleRead(generation, later);
    });
  }
}
