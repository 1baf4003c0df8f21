import type { ProposalResult } from '../messages/core-command.js';
import type { ProposeConfigurationMessage } from '../messages/core-message.js';
import type { Configuration } from '../messages/service-configuration.js';
import type { StoreEntry } from '../messages/store.js';
import { BackOff } from '../shared/back-off.js';
import type { ClockReading } from '../shared/clock-reading.js';
import type { RandomSource } from '../shared/random-source.js';
import type { StoreRequests } from '../shared/store-requests.js';
import type { Timers } from '../shared/timers.js';
import {
  applyChange,
  changesOverlap,
  describeChangedParts,
  diffConfigurations,
  isEmptyChange,
} from './configuration-change.js';
import type { ConfigurationHistory } from './configuration-history.js';
import { ConfigurationWriter, type PreparedRoot } from './configuration-writer.js';
import { describeConfigurationFault, validateConfiguration } from './configuration-validation.js';
import type { RootFollower } from './root-follower.js';
import {
  collectionKey,
  coversRevision,
  decodeRoot,
  emptyRoot,
  revisionOfChange,
  rootKey,
  type RootRecord,
} from './store-layout.js';

/** How often a proposal checks whether this node has caught up with the root. */
const catchUpCheckMilliseconds = 50;

/** What a proposal works with. */
export interface ProposalParts {
  readonly requests: StoreRequests;
  readonly timers: Timers;
  readonly history: ConfigurationHistory;
  readonly follower: RootFollower;
  readonly random: RandomSource;
  readonly timeoutMilliseconds: number;
  /** A change of this node was committed. */
  readonly committed: (configuration: Configuration, now: ClockReading) => void;
  readonly concluded: (result: ProposalResult) => void;
}

/** Brings one operator's change into the store, or finds out that it did not get there. */
export class ProposalRun {
  private isDone = false;
  /** The newest root write that was sent; it may take effect as long as its version is current. */
  private attempt: PreparedRoot | undefined;
  private readonly backOff: BackOff;
  private readonly writer: ConfigurationWriter;

  public constructor(
    private readonly message: ProposeConfigurationMessage,
    private readonly parts: ProposalParts,
  ) {
    this.backOff = new BackOff(parts.random, 100, 1_000);
    this.writer = new ConfigurationWriter(message.changeId, {
      ...parts,
      isStopped: () => this.isDone,
      refused: (reason) => {
        this.finish({ kind: 'rejected', reason });
      },
      stale: (now) => {
        this.later(now, (time) => {
          this.readRoot(time);
        });
      },
    });
  }

  public start(now: ClockReading): void {
    this.parts.timers.after(now, this.parts.timeoutMilliseconds, () => {
      this.giveUp();
    });
    this.readRoot(now);
  }

  private readRoot(now: ClockReading): void {
    this.parts.requests.start({ kind: 'read', key: rootKey }, now, (result, later) => {
      if (this.isDone) return;
      if (result.kind === 'found') this.considerRoot(result.entry, later);
      else if (result.kind === 'missing') this.considerRoot(undefined, later);
      else
        this.later(later, (time) => {
          this.readRoot(time);
        });
    });
  }

  private considerRoot(entry: StoreEntry | undefined, now: ClockReading): void {
    const root = entry === undefined ? emptyRoot : decodeRoot(entry.value);
    const version = entry?.version ?? 0;
    if (root === undefined) {
      const reason = 'the root record in the store is malformed';
      this.finish(
        this.attempt === undefined ? { kind: 'rejected', reason } : { kind: 'unresolved' },
      );
      return;
    }
    const revision = revisionOfChange(root, this.message.changeId);
    if (revision !== undefined) {
      this.accept(revision, now);
      return;
    }
    if (this.attempt?.version === version) {
      // The lost write may still take effect, so only the same write may be sent on this version.
      this.writeRoot(this.attempt, now);
    } else if (this.attempt !== undefined && !coversRevision(root, this.attempt.next.revision)) {
      this.finish({ kind: 'unresolved' });
    } else {
      this.catchUp(root, entry, now);
    }
  }

  private catchUp(root: RootRecord, entry: StoreEntry | undefined, now: ClockReading): void {
    const { revision } = this.parts.history.current;
    if (revision > root.revision) {
      this.later(now, (time) => {
        this.readRoot(time);
      });
      return;
    }
    if (entry !== undefined) this.parts.follower.follow(entry, now);
    this.awaitRevision(root, entry?.version ?? 0, now);
  }

  private awaitRevision(root: RootRecord, version: number, now: ClockReading): void {
    const { revision } = this.parts.history.current;
    if (revision === root.revision) {
      this.prepare(root, version, now);
    } else if (revision > root.revision) {
      this.readRoot(now);
    } else {
      this.parts.timers.after(now, catchUpCheckMilliseconds, (later) => {
        if (!this.isDone) this.awaitRevision(root, version, later);
      });
    }
  }

  /** Builds the change on a root that this node has in force. Earlier root writes can't succeed any more. */
  private prepare(root: RootRecord, version: number, now: ClockReading): void {
    const { current } = this.parts.history;
    const base = this.parts.history.at(this.message.baseRevision);
    const proposed = this.message.configuration;
    const change = diffConfigurations(base ?? current, proposed);
    // Without the base nothing shows which parts the operator meant to change.
    const since = base === undefined ? change : diffConfigurations(base, current);
    if (base === undefined || changesOverlap(change, since)) {
      const changedServices = describeChangedParts(since);
      this.finish({ kind: 'conflict', revision: current.revision, changedServices });
      return;
    }
    if (isEmptyChange(change)) {
      this.finish({ kind: 'accepted', revision: current.revision });
      return;
    }
    const next = applyChange(current, change, root.revision + 1);
    const [fault] = validateConfiguration(next);
    if (fault !== undefined) {
      this.finish({ kind: 'rejected', reason: describeConfigurationFault(fault) });
      return;
    }
    this.writer.prepare({ root, version, next, change }, now, (prepared, later) => {
      this.writeRoot(prepared, later);
    });
  }

  private writeRoot(prepared: PreparedRoot, now: ClockReading): void {
    this.attempt = prepared;
    const operation = {
      kind: 'compare-and-swap',
      key: rootKey,
      expectedVersion: prepared.version,
      value: prepared.value,
      guard: { key: collectionKey, version: prepared.collectionVersion },
    } as const;
    this.parts.requests.start(operation, now, (result, later) => {
      if (this.isDone) return;
      if (result.kind === 'written') this.accept(prepared.next.revision, later);
      else if (result.kind === 'conflict') this.considerConflict(prepared, result.entry, later);
      else
        this.later(later, (time) => {
          this.readRoot(time);
        });
    });
  }

  /**
   * On an unchanged root the guard failed: records were deleted since this write was prepared. The
   * guard's version never comes back, so this write can't succeed any more and is prepared anew.
   */
  private considerConflict(
    prepared: PreparedRoot,
    entry: StoreEntry | undefined,
    now: ClockReading,
  ): void {
    if ((entry?.version ?? 0) === prepared.version) this.attempt = undefined;
    this.considerRoot(entry, now);
  }

  private accept(revision: number, now: ClockReading): void {
    if (this.attempt?.next.revision === revision) this.parts.committed(this.attempt.next, now);
    this.finish({ kind: 'accepted', revision });
  }

  private giveUp(): void {
    const mayHold = this.attempt !== undefined || this.message.isResent === true;
    if (mayHold) this.finish({ kind: 'unresolved' });
    const reason = 'the platform store could not be asked in time; the change was not made';
    this.finish({ kind: 'rejected', reason });
  }

  private later(now: ClockReading, action: (now: ClockReading) => void): void {
    this.parts.timers.after(now, this.backOff.next(), (time) => {
      if (!this.isDone) action(time);
    });
  }

  private finish(result: ProposalResult): void {
    if (this.isDone) return;
    this.isDone = true;
    this.parts.concluded(result);
  }
}
