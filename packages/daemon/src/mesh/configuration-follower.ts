import {
  ConfigurationHolder,
  ConfigurationPullScheduler,
  isSameZone,
  OfferResult,
  StoreWatchElection,
} from '@peridotspring/mesh-core';
import type { ConfigurationInForce, MeshNode, RouteConfiguration } from '@peridotspring/mesh-core';
import type { MeshHelloFrame, MeshConnections } from '@peridotspring/nodes';

import { MeshEvent } from './mesh-event.js';
import type { DecodedConfiguration } from './platform-adapter.js';

type Fields = Readonly<Record<string, string | number | boolean>>;

/** What follows the configuration uses to act on the world. */
export interface ConfigurationPorts {
  readonly links: Pick<MeshConnections, 'broadcast' | 'send'>;
  readonly store: {
    watchConfiguration(isWatching: boolean): void;
    /** Another node has seen this era of the store. */
    eraTold(era: number): void;
  };
}

export interface ConfigurationFollowerOptions {
  readonly self: MeshNode;
  readonly clock: () => number;
  readonly ports: () => ConfigurationPorts;
  readonly decode: (content: Uint8Array) => DecodedConfiguration;
  /** A newer configuration is in force. */
  readonly changed: (configuration: RouteConfiguration) => void;
  readonly log: (event: string, fields: Fields) => void;
}

/**
 * Keeps the newest configuration in force: from the store if this node watches it, and from other nodes
 * otherwise.
 */
export class ConfigurationFollower {
  private readonly holder = new ConfigurationHolder();
  private readonly pull: ConfigurationPullScheduler;
  private readonly watchDuty: StoreWatchElection;
  /** When the configuration in force came into force. */
  private changedAt: number;
  private newestEra: number | undefined;
  /** The version that was last refused, so that each is logged once. */
  private refusedVersion: number | undefined;

  public constructor(private readonly options: ConfigurationFollowerOptions) {
    this.pull = new ConfigurationPullScheduler(options.self.name);
    this.watchDuty = new StoreWatchElection(options.self);
    this.changedAt = options.clock();
  }

  public get inForce(): ConfigurationInForce | undefined {
    return this.holder.inForce;
  }

  public get version(): number {
    return this.holder.version;
  }

  public get reachesStore(): boolean {
    return this.watchDuty.isStoreReachable;
  }

  /** Whether this node watches the store. */
  public get isWatching(): boolean {
    return this.watchDuty.isWatching;
  }

  /** The newest era of the store that this node has seen; undefined if the store has not told any. */
  public get storeEra(): number | undefined {
    return this.newestEra;
  }

  /** Time since the last change, or since the start. */
  public ageMilliseconds(now: number): number {
    return now - this.changedAt;
  }

  /** The operators' configuration was read from the store or came from another node. */
  public read(content: Uint8Array, source: string): void {
    const { changed, clock, decode, log, ports } = this.options;
    const decoded = decode(content);
    if (decoded.kind === 'invalid') {
      const { field, message } = decoded;
      log(MeshEvent.ConfigurationInvalid, { detail: message, field, source });
      return;
    }
    const { configuration } = decoded;
    const { routes, version } = configuration;
    const result = this.holder.offer(configuration, content);
    if (result !== OfferResult.InForce) {
      this.refused(result, version, source);
      return;
    }
    this.changedAt = clock();
    log(MeshEvent.ConfigurationInForce, { routes: routes.length, source, version });
    changed(configuration);
    ports().links.broadcast({ kind: 'version', version });
  }

  /** The store told its era for the first time, or that it came back from an older copy. */
  public eraSeen(storeEra: number, isRestored: boolean): void {
    this.newestEra = storeEra;
    if (!isRestored) return;
    this.options.log(MeshEvent.StoreRestored, { era: storeEra, version: this.version });
    this.options.ports().links.broadcast({ kind: 'version', storeEra, version: this.version });
  }

  /** Another node told an era of the store, if what it sent is one. */
  public eraTold(era: unknown): void {
    if (typeof era === 'number' && Number.isSafeInteger(era)) {
      this.options.ports().store.eraTold(era);
    }
  }

  /** The store answers again, or does not answer any more. */
  public storeReached(reachesStore: boolean): void {
    this.watchDuty.onStoreReachabilityChanged(reachesStore);
    this.options.ports().links.broadcast({ kind: 'store-reach', reachesStore });
  }

  public connected({ configurationVersion, node, reachesStore, storeEra }: MeshHelloFrame): void {
    this.watchDuty.onNodeConnected(node, reachesStore);
    this.versionHeard(node, configurationVersion);
    this.eraTold(storeEra);
  }

  public disconnected(node: string): void {
    this.pull.removeNode(node);
    this.watchDuty.onNodeDisconnected(node);
  }

  public versionHeard(from: MeshNode, version: number): void {
    const { clock, self } = this.options;
    this.pull.onVersionAnnounced(from.name, version, isSameZone(from, self), clock());
  }

  /** A node says whether the store answers it. */
  public storeReachTold(node: string, reachesStore: boolean): void {
    this.watchDuty.onStoreReachabilityReported(node, reachesStore);
  }

  /** A node asks for the configuration in force. */
  public asked(node: string): void {
    const { inForce } = this.holder;
    if (inForce === undefined) return;
    const { configuration, content } = inForce;
    const { version } = configuration;
    this.options.ports().links.send(node, { content, kind: 'configuration', version });
  }

  public tick(now: number): void {
    this.checkWatchDuty(now);
    const source = this.pull.takeDueSource(this.version, this.watchDuty.isWatching, now);
    if (source !== undefined) this.options.ports().links.send(source, { kind: 'pull' });
  }

  /** A version never goes back, whatever the store shows. An operator who means to go back writes a higher one. */
  private refused(
    result: Exclude<OfferResult, typeof OfferResult.InForce>,
    version: number,
    source: string,
  ): void {
    if (result === OfferResult.Same || version === this.refusedVersion) return;
    this.refusedVersion = version;
    const event =
      result === OfferResult.Older ? MeshEvent.ConfigurationOlder : MeshEvent.ConfigurationDiffers;
    this.options.log(event, { inForce: this.version, source, version });
  }

  private checkWatchDuty(now: number): void {
    const wasWatching = this.watchDuty.isWatching;
    const isWatching = this.watchDuty.evaluate(now);
    if (isWatching === wasWatching) return;
    this.options.log(MeshEvent.ConfigurationWatch, { watching: isWatching });
    this.options.ports().store.watchConfiguration(isWatching);
  }
}
