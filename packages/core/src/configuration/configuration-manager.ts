import type { ProposalResult } from '../messages/core-command.js';
import type { ProposeConfigurationMessage } from '../messages/core-message.js';
import type { ConfigurationFrame } from '../messages/frames.js';
import type { Configuration } from '../messages/service-configuration.js';
import type { StoreResult } from '../messages/store.js';
import type { ClockReading } from '../shared/clock-reading.js';
import type { RandomSource } from '../shared/random-source.js';
import { StoreRequests } from '../shared/store-requests.js';
import { Timers } from '../shared/timers.js';
import type {
  ConfigurationCommand,
  ConfigurationManagerContract,
} from './configuration-contract.js';
import { ConfigurationHistory } from './configuration-history.js';
import { changeIdPattern } from './configuration-limits.js';
import { ConfigurationDistributor } from './configuration-distributor.js';
import { describeConfigurationFault, validateConfiguration } from './configuration-validation.js';
import {
  defaultGarbageCollectionIntervalMilliseconds,
  RecordGarbageCollector,
} from './record-garbage-collector.js';
import { ProposalRun } from './proposal-run.js';
import { RootFollower } from './root-follower.js';
import { RootLoader } from './root-loader.js';

/** Options of a configuration manager. */
export interface ConfigurationManagerOptions {
  readonly random: RandomSource;
  /** Name of this node; it is written to the store when this node collects garbage. */
  readonly server: string;
  /** Time from finding an unreferenced record to its deletion; 300,000 by default. */
  readonly collectionIntervalMilliseconds?: number | undefined;
  /** Time after which a proposal is concluded with what is known by then; 10,000 by default. */
  readonly proposalTimeoutMilliseconds?: number | undefined;
}

const defaultProposalTimeoutMilliseconds = 10_000;
/** Proposals that one node processes at a time; operators send far fewer. */
const maximumProposals = 16;

/** Maintains the configuration in force, follows the root record and commits operators' changes. */
export class ConfigurationManager implements ConfigurationManagerContract {
  private commands: ConfigurationCommand[] = [];
  private readonly timers = new Timers();
  private readonly history = new ConfigurationHistory();
  private readonly requests = new StoreRequests((command) => this.commands.push(command));
  private readonly distributor: ConfigurationDistributor;
  private readonly follower: RootFollower;
  private readonly garbageCollector: RecordGarbageCollector;
  private runningProposals = 0;

  public constructor(private readonly options: ConfigurationManagerOptions) {
    const { random } = options;
    const { timers, requests, history } = this;
    this.distributor = new ConfigurationDistributor(
      history,
      random,
      (to, frame) => this.commands.push({ kind: 'send', to, frame }),
      (counter) => {
        this.count(counter);
      },
    );
    const loader = new RootLoader(
      requests,
      timers,
      random,
      (configuration) => {
        this.putInForce(configuration);
      },
      (key, now) => {
        this.logWarning('configuration-record-missing', { key });
        this.follower.scheduleReread(now);
      },
    );
    const logWarning: RootFollower['dependencies']['logWarning'] = (event, fields) => {
      this.logWarning(event, fields);
    };
    const dependencies = {
      requests,
      timers,
      history,
      loader,
      distributor: this.distributor,
      random,
      logWarning,
    };
    this.follower = new RootFollower(dependencies);
    this.garbageCollector = this.createGarbageCollector();
  }

  public get inForce(): Configuration {
    return this.history.current;
  }

  public handleFrame(
    from: string,
    frame: ConfigurationFrame,
    now: ClockReading,
  ): readonly ConfigurationCommand[] {
    switch (frame.kind) {
      case 'configuration-announcement':
        this.distributor.onAnnouncement(from, frame.revision, now);
        break;
      case 'configuration-pull':
        this.distributor.handlePull(from, frame.haveRevision, now);
        break;
      case 'configuration-push': {
        const configuration = this.distributor.handlePush(from, frame, now);
        if (configuration !== undefined) this.putInForce(configuration);
        break;
      }
    }
    return this.takeCommands();
  }

  public storeResult(
    operationId: number,
    result: StoreResult,
    now: ClockReading,
  ): readonly ConfigurationCommand[] {
    this.requests.handleResult(operationId, result, now);
    return this.takeCommands();
  }

  public propose(
    message: ProposeConfigurationMessage,
    now: ClockReading,
  ): readonly ConfigurationCommand[] {
    const reason = this.reasonToReject(message);
    if (reason !== undefined) {
      // An earlier run with the same identifier may have committed the change, which isn't checked here.
      const result: ProposalResult =
        message.isResent === true ? { kind: 'unresolved' } : { kind: 'rejected', reason };
      this.conclude(message.proposalId, result);
      return this.takeCommands();
    }
    this.runningProposals += 1;
    const { requests, timers, history, follower } = this;
    new ProposalRun(message, {
      requests,
      timers,
      history,
      follower,
      random: this.options.random,
      timeoutMilliseconds:
        this.options.proposalTimeoutMilliseconds ?? defaultProposalTimeoutMilliseconds,
      onCommitted: (configuration) => {
        this.putInForce(configuration);
      },
      onConcluded: (result) => {
        this.runningProposals -= 1;
        this.conclude(message.proposalId, result);
      },
    }).start(now);
    return this.takeCommands();
  }

  public onRevisionObserved(
    server: string,
    revision: number,
    now: ClockReading,
  ): readonly ConfigurationCommand[] {
    this.distributor.onRevisionObserved(server, revision, now);
    return this.takeCommands();
  }

  public setPeers(servers: readonly string[]): void {
    this.distributor.setPeers(servers);
  }

  public setWatching(watching: boolean, now: ClockReading): readonly ConfigurationCommand[] {
    this.follower.setWatching(watching, now);
    this.garbageCollector.setActive(watching, now);
    return this.takeCommands();
  }

  public tick(now: ClockReading): readonly ConfigurationCommand[] {
    this.requests.tick(now);
    this.timers.tick(now);
    this.distributor.tick(now);
    return this.takeCommands();
  }

  public get nextTickAt(): number {
    const { requests, distributor, timers } = this;
    return Math.min(requests.nextDeadline, timers.nextDueAt, distributor.nextTickAt);
  }

  private createGarbageCollector(): RecordGarbageCollector {
    return new RecordGarbageCollector({
      requests: this.requests,
      timers: this.timers,
      server: this.options.server,
      intervalMilliseconds:
        this.options.collectionIntervalMilliseconds ?? defaultGarbageCollectionIntervalMilliseconds,
      onDeleted: (records) => {
        this.count('configuration_records_deleted', {}, records);
      },
      onMalformed: (key) => {
        this.logWarning('configuration-record-malformed', { key });
      },
    });
  }

  private reasonToReject(message: ProposeConfigurationMessage): string | undefined {
    if (!changeIdPattern.test(message.changeId)) {
      return 'changeId: expected 1 to 36 letters, digits, underscores or hyphens';
    }
    if (this.runningProposals >= maximumProposals) {
      return `this node is already processing ${maximumProposals} changes; try again later`;
    }
    const faults = validateConfiguration(message.configuration);
    return faults.length === 0 ? undefined : faults.map(describeConfigurationFault).join('; ');
  }

  private putInForce(configuration: Configuration): void {
    const previousRevision = this.history.current.revision;
    if (!this.history.advance(configuration)) return;
    this.commands.push({ kind: 'configuration-in-force', configuration });
    this.distributor.announce(previousRevision);
  }

  private conclude(proposalId: number, result: ProposalResult): void {
    this.commands.push({ kind: 'proposal-concluded', proposalId, result });
    this.count('configuration_proposals', { result: result.kind });
  }

  private count(counter: string, labels: Readonly<Record<string, string>> = {}, by = 1): void {
    this.commands.push({ kind: 'count', counter, labels, by });
  }

  private logWarning(event: string, fields: Readonly<Record<string, string | number>>): void {
    this.commands.push({ kind: 'log', level: 'warn', event, fields });
  }

  private takeCommands(): readonly ConfigurationCommand[] {
    const { commands } = this;
    this.commands = [];
    return commands;
  }
}
