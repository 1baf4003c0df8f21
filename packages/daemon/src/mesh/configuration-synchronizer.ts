import {
  ConfigurationFreshness,
  ConfigurationHolder,
  ConfigurationPullScheduler,
  isSameZone,
  OfferResult,
  StoreWatchElection,
} from '@peridotspring/mesh-core';
import type {
  ConfigurationInForce,
  MeshNode,
  RouteConfiguration,
  WatchTurn,
} from '@peridotspring/mesh-core';
import type { MeshHelloFrame, MeshConnections } from '@peridotspring/nodes';

import type { KnownVersions } from './key-proof-synchronizer.js';
import { MeshEvent } from './mesh-event.js';
import type { DecodedConfiguration } from './platform-adapter.js';

/** Names the store as the source of a configuration. */
export const storeSource = 'store';

type LogFields = Readonly<Record<string, string | number | boolean>>;

/** Connections to peers and the store, through which the synchronizer acts. */
export interface ConfigurationPorts {
  readonly connections: Pick<MeshConnections, 'broadcast' | 'send'>;
  readonly store: {
    watchConfiguration(isWatching: boolean): void;
    /** Reads the configuration once, although this node does not watch it. */
    refreshConfiguration(): void;
    /** Reads the configuration up to date, whether this node watches it or not. */
    proveConfiguration(): void;
    /** A peer has observed this era of the store. */
    observeEra(era: number): void;
  };
}

export interface ConfigurationSynchronizerOptions {
  readonly self: MeshNode;
  readonly clock: () => number;
  /** Time within which a change of the configuration must be in force on each node. */
  readonly propagationMilliseconds: number;
  readonly ports: () => ConfigurationPorts;
  readonly decode: (content: Uint8Array) => DecodedConfiguration;
  /** Called when a newer configuration came into force. */
  readonly onChange: (configuration: RouteConfiguration) => void;
  readonly log: (event: string, fields: LogFields) => void;
}

/**
 * Keeps the newest configuration in force. It comes from the store if this node watches the store, and from
 * peers otherwise.
 */
export class ConfigurationSynchronizer {
  private readonly holder = new ConfigurationHolder();
  private readonly freshness: ConfigurationFreshness;
  private readonly pull: ConfigurationPullScheduler;
  private readonly storeWatchElection: StoreWatchElection;
  /** Time when the configuration in force was applied; the start time before that. */
  private changedAt: number;
  private newestEra: number | undefined;
  /** The version that was last rejected, so that repeated reads of it are logged once. */
  private lastRejectedVersion: number | undefined;
  /** The version that was last read from the store; undefined if it is invalid. */
  private versionInStore: number | undefined;

  public constructor(private readonly options: ConfigurationSynchronizerOptions) {
    this.pull = new ConfigurationPullScheduler(options.self.name);
    this.storeWatchElection = new StoreWatchElection(options.self);
    this.changedAt = options.clock();
    this.freshness = new ConfigurationFreshness(
      options.self.name,
      options.propagationMilliseconds,
      this.changedAt,
    );
  }

  public get inForce(): ConfigurationInForce | undefined {
    return this.holder.inForce;
  }

  public get version(): number {
    return this.holder.version;
  }

  public get knownVersions(): KnownVersions {
    const newest = Math.max(this.version, this.pull.newestAnnouncedVersion);
    return { inForce: this.version, inStore: this.versionInStore, newest };
  }

  public get reachesStore(): boolean {
    return this.storeWatchElection.isStoreReachable;
  }

  /** Connected peers that reach the store, those of the own zone first. */
  public get peersReachingStore(): readonly string[] {
    return this.storeWatchElection.nodesReachingStore;
  }

  /** Whether this node watches the configuration in the store. */
  public get isWatching(): boolean {
    return this.storeWatchElection.isWatching;
  }

  /** The place of this node among those that watch the configuration. */
  public get watchTurn(): WatchTurn {
    return this.storeWatchElection.watchTurn;
  }

  /** The newest era of the store that this node has observed; undefined before the first one. */
  public get storeEra(): number | undefined {
    return this.newestEra;
  }

  /** Time since the configuration last changed, or since the start. */
  public ageMilliseconds(now: number): number {
    return now - this.changedAt;
  }

  /** Time since the store or a peer last confirmed that the version in force is the newest. */
  public unconfirmedMilliseconds(now: number): number {
    return this.freshness.ageMilliseconds(now);
  }

  /** Whether a newer version would have reached this node, if there were one. */
  public get isConfirmed(): boolean {
    const { clock, propagationMilliseconds } = this.options;
    return this.unconfirmedMilliseconds(clock()) <= propagationMilliseconds;
  }

  /** The operators' configuration was read from the store or received from a peer; `source` names which. */
  public onContentReceived(content: Uint8Array, source: string): void {
    const { onChange, clock, decode, log, ports } = this.options;
    const decoded = decode(content);
    if (source === storeSource)
      this.versionInStore = decoded.kind === 'invalid' ? undefined : decoded.configuration.version;
    if (decoded.kind === 'invalid') {
      const { field, message } = decoded;
      log(MeshEvent.ConfigurationInvalid, { detail: message, field, source });
      return;
    }
    const { configuration } = decoded;
    const { routes, version } = configuration;
    const result = this.holder.offer(configuration, content);
    if (result !== OfferResult.InForce) {
      this.logRejection(result, version, source);
      return;
    }
    const { tenants } = configuration;
    if (decoded.unknownTypes.length > 0)
      log(MeshEvent.ConfigurationTypesUnknown, { types: decoded.unknownTypes.join(), version });
    if (tenants !== undefined && tenants.ambiguousKeyCount > 0)
      log(MeshEvent.ConfigurationKeysAmbiguous, { keys: tenants.ambiguousKeyCount, version });
    this.changedAt = clock();
    log(MeshEvent.ConfigurationInForce, { routes: routes.length, source, version });
    onChange(configuration);
    ports().connections.broadcast({ kind: 'version', version });
  }

  /**
   * The store has shown that it holds no newer configuration than those that were read from it.
   * @param isProven whether peers may ask this node for a proof of that.
   */
  public onStoreConfirmed(isProven: boolean): void {
    this.freshness.onConfirmed(this.options.clock());
    const { version } = this;
    if (version === 0) return;
    this.options.ports().connections.broadcast({
      isConfirmed: true,
      kind: 'version',
      version,
      ...(isProven && { isProven }),
    });
  }

  /** The store's era was read for the first time, or the era shows that the store was restored from a backup. */
  public onEraObserved(storeEra: number, isRestored: boolean): void {
    this.newestEra = storeEra;
    if (!isRestored) return;
    this.options.log(MeshEvent.StoreRestored, { era: storeEra, version: this.version });
    this.options
      .ports()
      .connections.broadcast({ kind: 'version', storeEra, version: this.version });
  }

  /** A peer sent an era of the store; invalid values are ignored. */
  public onPeerEra(era: unknown): void {
    if (typeof era === 'number' && Number.isSafeInteger(era)) {
      this.options.ports().store.observeEra(era);
    }
  }

  /** The store became reachable or unreachable for this node. */
  public onStoreReachabilityChanged(reachesStore: boolean): void {
    this.storeWatchElection.onStoreReachabilityChanged(reachesStore);
    this.options.ports().connections.broadcast({ kind: 'store-reach', reachesStore });
  }

  public onConnected({ configurationVersion, node, reachesStore, storeEra }: MeshHelloFrame): void {
    this.storeWatchElection.onNodeConnected(node, reachesStore);
    this.onPeerVersion(node, configurationVersion);
    this.onPeerEra(storeEra);
  }

  public onDisconnected(node: string): void {
    this.pull.removeNode(node);
    this.storeWatchElection.onNodeDisconnected(node);
  }

  public onPeerVersion(from: MeshNode, version: number): void {
    const { clock, self } = this.options;
    this.pull.onVersionAnnounced(from.name, version, isSameZone(from, self), clock());
  }

  /** A peer reported that the store has confirmed its version as the newest. */
  public onPeerConfirmed(version: number): void {
    if (version <= this.version) this.freshness.onConfirmed(this.options.clock());
  }

  /** A peer reported whether it reaches the store. */
  public onPeerStoreReachability(node: string, reachesStore: boolean): void {
    this.storeWatchElection.onStoreReachabilityReported(node, reachesStore);
  }

  /** A peer requested the configuration in force. */
  public onPullRequested(node: string): void {
    const { inForce } = this.holder;
    if (inForce === undefined) return;
    const { configuration, content } = inForce;
    const { version } = configuration;
    this.options.ports().connections.send(node, { content, kind: 'configuration', version });
  }

  public tick(now: number): void {
    this.updateWatch(now);
    const source = this.pull.takeDueSource(this.version, this.storeWatchElection.isWatching, now);
    if (source !== undefined) this.options.ports().connections.send(source, { kind: 'pull' });
    this.readIfUnconfirmed(now);
  }

  /** A watching node reads whenever its watch fails, and a node that the store does not respond to polls for its return. */
  private readIfUnconfirmed(now: number): void {
    if (this.isWatching || !this.reachesStore || !this.freshness.takeDueRead(now)) return;
    this.options.log(MeshEvent.ConfigurationUnconfirmed, {
      milliseconds: Math.round(this.unconfirmedMilliseconds(now)),
      version: this.version,
    });
    this.options.ports().store.refreshConfiguration();
  }

  /**
   * Versions never decrease, whatever the store returns. To roll back, an operator writes the earlier content with a
   * higher version.
   */
  private logRejection(
    result: Exclude<OfferResult, typeof OfferResult.InForce>,
    version: number,
    source: string,
  ): void {
    if (result === OfferResult.Same || version === this.lastRejectedVersion) return;
    this.lastRejectedVersion = version;
    const event =
      result === OfferResult.Older ? MeshEvent.ConfigurationOlder : MeshEvent.ConfigurationDiffers;
    this.options.log(event, { inForce: this.version, source, version });
  }

  private updateWatch(now: number): void {
    const wasWatching = this.storeWatchElection.isWatching;
    const isWatching = this.storeWatchElection.evaluate(now);
    if (isWatching === wasWatching) return;
    this.options.log(MeshEvent.ConfigurationWatch, { watching: isWatching });
    this.options.ports().store.watchConfiguration(isWatching);
  }
}
