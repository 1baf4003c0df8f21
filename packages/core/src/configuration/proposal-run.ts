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
  garbageCollectionKey,
  retainsChangeIdOfRevision,
  decodeRoot,
  emptyRoot,
  revisionOfChange,
  rootKey,
  type RootRecord,
} from './store-layout.js';

/** Interval of checking whether this node has caught up with the root. */
const catchUpPollMilliseconds = 50;

/** Dependencies and callbacks of a proposal. */
export interface ProposalDependencies {
  readonly requests: StoreRequests;
  readonly timers: Timers;
  readonly history: ConfigurationHistory;
  readonly follower: RootFollower;
  readonly random: RandomSource;
  readonly timeoutMilliseconds: number;
  /** Called after this node committed the change. */
  readonly onCommitted: (configuration: Configuration, now: ClockReading) => void;
  readonly onConcluded: (result: ProposalResult) => void;
}

/** Commits one operator's change to the store, or determines that it was not committed. */
export class ProposalRun {
  private isDone = false;
  /**
   * Last root write that was sent; it may still take effect while the root has the expected
   * version.
   */
  private pendingRootWrite: PreparedRoot | undefined;
  private readonly backOff: BackOff;
  private readonly writer: ConfigurationWriter;

  public constructor(
    private readonly message: ProposeConfigurationMessage,
    private readonly dependencies: ProposalDependencies,
  ) {
    this.backOff = new BackOff(dependencies.random, 100, 1_000);
    this.writer = new ConfigurationWriter(message.changeId, {
      ...dependencies,
      isStopped: () => this.isDone,
      onRejected: (reason) => {
        this.finish({ kind: 'rejected', reason });
      },
      onStaleRoot: (now) => {
        this.retryAfterBackOff(now, (time) => {
          this.readRoot(time);
        });
      },
    });
  }

  public start(now: ClockReading): void {
    this.dependencies.timers.schedule(now, this.dependencies.timeoutMilliseconds, () => {
      this.onTimeout();
    });
    this.readRoot(now);
  }

  private readRoot(now: ClockReading): void {
    this.dependencies.requests.start({ kind: 'read', key: rootKey }, now, (result, later) => {
      if (this.isDone) return;
      if (result.kind === 'found') this.handleRoot(result.entry, later);
      else if (result.kind === 'missing') this.handleRoot(undefined, later);
      else
        this.retryAfterBackOff(later, (time) => {
          this.readRoot(time);
        });
    });
  }

  private handleRoot(entry: StoreEntry | undefined, now: ClockReading): void {
    const root = entry === undefined ? emptyRoot : decodeRoot(entry.value);
    const version = entry?.version ?? 0;
    if (root === undefined) {
      const reason = 'the root record in the store is malformed';
      this.finish(
        this.pendingRootWrite === undefined ? { kind: 'rejected', reason } : { kind: 'unresolved' },
      );
      return;
    }
    const revision = revisionOfChange(root, this.message.changeId);
    if (revision !== undefined) {
      this.accept(revision, now);
      return;
    }
    if (this.pendingRootWrite?.version === version) {
      // The unanswered write may still take effect, so only the same write may be sent for this version.
      this.writeRoot(this.pendingRootWrite, now);
    } else if (
      this.pendingRootWrite !== undefined &&
      !retainsChangeIdOfRevision(root, this.pendingRootWrite.next.revision)
    ) {
      this.finish({ kind: 'unresolved' });
    } else {
      this.catchUp(root, entry, now);
    }
  }

  private catchUp(root: RootRecord, entry: StoreEntry | undefined, now: ClockReading): void {
    const { revision } = this.dependencies.history.current;
    if (revision > root.revision) {
      this.retryAfterBackOff(now, (time) => {
        this.readRoot(time);
      });
      return;
    }
    if (entry !== undefined) this.dependencies.follower.follow(entry, now);
    this.awaitRevision(root, entry?.version ?? 0, now);
  }

  private awaitRevision(root: RootRecord, version: number, now: ClockReading): void {
    const { revision } = this.dependencies.history.current;
    if (revision === root.revision) {
      this.prepare(root, version, now);
    } else if (revision > root.revision) {
      this.readRoot(now);
    } else {
      this.dependencies.timers.schedule(now, catchUpPollMilliseconds, (later) => {
        if (!this.isDone) this.awaitRevision(root, version, later);
      });
    }
  }

  /**
   * Rebases the change onto a root that is in force on this node. Earlier root writes can't succeed
   * any more.
   */
  private prepare(root: RootRecord, version: number, now: ClockReading): void {
    const { current } = this.dependencies.history;
    const base = this.dependencies.history.configurationAt(this.message.baseRevision);
    const proposed = this.message.configuration;
    const change = diffConfigurations(base ?? current, proposed);
    // Without the base it is unknown which parts the operator meant to change.
    const concurrentChange = base === undefined ? change : diffConfigurations(base, current);
    if (base === undefined || changesOverlap(change, concurrentChange)) {
      const changedServices = describeChangedParts(concurrentChange);
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
    this.pendingRootWrite = prepared;
    const operation = {
      kind: 'compare-and-swap',
      key: rootKey,
      expectedVersion: prepared.version,
      value: prepared.value,
      guard: { key: garbageCollectionKey, version: prepared.garbageCollectionVersion },
    } as const;
    this.dependencies.requests.start(operation, now, (result, later) => {
      if (this.isDone) return;
      if (result.kind === 'written') this.accept(prepared.next.revision, later);
      else if (result.kind === 'conflict') this.handleConflict(prepared, result.entry, later);
      else
        this.retryAfterBackOff(later, (time) => {
          this.readRoot(time);
        });
    });
  }

  /**
   * If the root is unchanged, the guard failed: records were deleted after this write was prepared. The
   * guard's version never recurs, so this write can't succeed any more and is prepared again.
   */
  private handleConflict(
    prepared: PreparedRoot,
    entry: StoreEntry | undefined,
    now: ClockReading,
  ): void {
    if ((entry?.version ?? 0) === prepared.version) this.pendingRootWrite = undefined;
    this.handleRoot(entry, now);
  }

  private accept(revision: number, now: ClockReading): void {
    if (this.pendingRootWrite?.next.revision === revision)
      this.dependencies.onCommitted(this.pendingRootWrite.next, now);
    this.finish({ kind: 'accepted', revision });
  }

  private onTimeout(): void {
    const mayHaveTakenEffect =
      this.pendingRootWrite !== undefined || this.message.isResent === true;
    if (mayHaveTakenEffect) this.finish({ kind: 'unresolved' });
    const reason = 'the platform store did not answer in time; the change was not made';
    this.finish({ kind: 'rejected', reason });
  }

  private retryAfterBackOff(now: ClockReading, action: (now: ClockReading) => void): void {
    this.dependencies.timers.schedule(now, this.backOff.nextDelay(), (time) => {
      if (!this.isDone) action(time);
    });
  }

  private finish(result: ProposalResult): void {
    if (this.isDone) return;
    this.isDone = true;
    this.dependencies.onConcluded(result);
  }
}
