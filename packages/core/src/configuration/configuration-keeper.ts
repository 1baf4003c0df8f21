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
  ConfigurationKeeperContract,
} from './configuration-contract.js';
import { ConfigurationHistory } from './configuration-history.js';
import { changeIdPattern } from './configuration-limits.js';
import { ConfigurationSpreader } from './configuration-spreader.js';
import { describeConfigurationFault, validateConfiguration } from './configuration-validation.js';
import { defaultCollectionIntervalMilliseconds, RecordCollector } from './record-collector.js';
import { ProposalRun } from './proposal-run.js';
import { RootFollower } from './root-follower.js';
import { RootLoader } from './root-loader.js';

/** How a keeper is set up. */
export interface ConfigurationKeeperOptions {
  readonly random: RandomSource;
  /** Name of this node, under which it deletes replaced records. */
  readonly server: string;
  /** Time from the listing of an unreferenced record to its deletion; default 300,000. */
  readonly collectionIntervalMilliseconds?: number | undefined;
  /** Time after which an operator is told what is known of a change; default 10,000. */
  readonly proposalTimeoutMilliseconds?: number | undefined;
}

const defaultProposalTimeoutMilliseconds = 10_000;
/** Changes that one node works on at a time; operators send far fewer. */
const maximumProposals = 16;

/** Keeps the configuration in force, follows the store's root and makes operators' changes. */
export class ConfigurationKeeper implements ConfigurationKeeperContract {
  private commands: ConfigurationCommand[] = [];
  private readonly timers = new Timers();
  private readonly history = new ConfigurationHistory();
  private readonly requests = new StoreRequests((command) => this.commands.push(command));
  private readonly spreader: ConfigurationSpreader;
  private readonly follower: RootFollower;
  private readonly collector: RecordCollector;
  private proposals = 0;

  public constructor(private readonly options: ConfigurationKeeperOptions) {
    const { random } = options;
    const { timers, requests, history } = this;
    this.spreader = new ConfigurationSpreader(
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
        this.report('configuration-record-missing', { key });
        this.follower.reread(now);
      },
    );
    const report: RootFollower['parts']['report'] = (event, fields) => {
      this.report(event, fields);
    };
    const parts = { requests, timers, history, loader, spreader: this.spreader, random, report };
    this.follower = new RootFollower(parts);
    this.collector = this.createCollector();
  }

  public get inForce(): Configuration {
    return this.history.current;
  }

  public frame(
    from: string,
    frame: ConfigurationFrame,
    now: ClockReading,
  ): readonly ConfigurationCommand[] {
    switch (frame.kind) {
      case 'configuration-announcement':
        this.spreader.announced(from, frame.revision, now);
        break;
      case 'configuration-pull':
        this.spreader.answerPull(from, frame.haveRevision, now);
        break;
      case 'configuration-push': {
        const configuration = this.spreader.receive(from, frame, now);
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
    this.requests.deliver(operationId, result, now);
    return this.takeCommands();
  }

  public propose(
    message: ProposeConfigurationMessage,
    now: ClockReading,
  ): readonly ConfigurationCommand[] {
    const reason = this.reasonToReject(message);
    if (reason !== undefined) {
      // What an earlier run under the same identifier wrote is not looked up here.
      const result: ProposalResult =
        message.isResent === true ? { kind: 'unresolved' } : { kind: 'rejected', reason };
      this.conclude(message.proposalId, result);
      return this.takeCommands();
    }
    this.proposals += 1;
    const { requests, timers, history, follower } = this;
    new ProposalRun(message, {
      requests,
      timers,
      history,
      follower,
      random: this.options.random,
      timeoutMilliseconds:
        this.options.proposalTimeoutMilliseconds ?? defaultProposalTimeoutMilliseconds,
      committed: (configuration) => {
        this.putInForce(configuration);
      },
      concluded: (result) => {
        this.proposals -= 1;
        this.conclude(message.proposalId, result);
      },
    }).start(now);
    return this.takeCommands();
  }

  public revisionSeen(
    server: string,
    revision: number,
    now: ClockReading,
  ): readonly ConfigurationCommand[] {
    this.spreader.seen(server, revision, now);
    return this.takeCommands();
  }

  public setPeers(servers: readonly string[]): void {
    this.spreader.setPeers(servers);
  }

  public setWatching(watching: boolean, now: ClockReading): readonly ConfigurationCommand[] {
    this.follower.setWatching(watching, now);
    this.collector.setActive(watching, now);
    return this.takeCommands();
  }

  public tick(now: ClockReading): readonly ConfigurationCommand[] {
    this.requests.tick(now);
    this.timers.tick(now);
    this.spreader.tick(now);
    return this.takeCommands();
  }

  public get nextTickAt(): number {
    const { requests, spreader, timers } = this;
    return Math.min(requests.nextDeadline, timers.nextAt, spreader.nextTickAt);
  }

  private createCollector(): RecordCollector {
    return new RecordCollector({
      requests: this.requests,
      timers: this.timers,
      server: this.options.server,
      intervalMilliseconds:
        this.options.collectionIntervalMilliseconds ?? defaultCollectionIntervalMilliseconds,
      deleted: (records) => {
        this.count('configuration_records_deleted', {}, records);
      },
      malformed: (key) => {
        this.report('configuration-record-malformed', { key });
      },
    });
  }

  private reasonToReject(message: ProposeConfigurationMessage): string | undefined {
    if (!changeIdPattern.test(message.changeId)) {
      return 'changeId: expected 1 to 36 letters, digits, underscores or hyphens';
    }
    if (this.proposals >= maximumProposals) {
      return `this node already works on ${maximumProposals} changes; try again later`;
    }
    const faults = validateConfiguration(message.configuration);
    return faults.length === 0 ? undefined : faults.map(describeConfigurationFault).join('; ');
  }

  private putInForce(configuration: Configuration): void {
    const previousRevision = this.history.current.revision;
    if (!this.history.advance(configuration)) return;
    this.commands.push({ kind: 'configuration-in-force', configuration });
    this.spreader.spread(previousRevision);
  }

  private conclude(proposalId: number, result: ProposalResult): void {
    this.commands.push({ kind: 'proposal-concluded', proposalId, result });
    this.count('configuration_proposals', { result: result.kind });
  }

  private count(counter: string, labels: Readonly<Record<string, string>> = {}, by = 1): void {
    this.commands.push({ kind: 'count', counter, labels, by });
  }

  private report(event: string, fields: Readonly<Record<string, string | number>>): void {
    this.commands.push({ kind: 'log', level: 'warn', event, fields });
  }

  private takeCommands(): readonly ConfigurationCommand[] {
    const { commands } = this;
    this.commands = [];
    return commands;
  }
}
