import type { Configuration, ServiceConfiguration } from '../messages/service-configuration.js';
import { BackOff } from '../shared/back-off.js';
import type { ClockReading } from '../shared/clock-reading.js';
import type { RandomSource } from '../shared/random-source.js';
import type { StoreRequests } from '../shared/store-requests.js';
import type { Timers } from '../shared/timers.js';
import {
  decodeDrains,
  decodePage,
  decodeService,
  drainsKey,
  pageCount,
  pageKey,
  pageIndexOf,
  serviceKey,
  type DrainRecord,
  type PageRecord,
  type RootRecord,
} from './store-layout.js';

/** Concurrent reads from the store; loading all 1,300 services must not starve other nodes. */
const maximumConcurrentReads = 32;

/** The records of a revision, as far as this node has read them from the store. */
interface StoreSnapshot {
  readonly root: RootRecord;
  readonly configuration: Configuration;
  readonly pages: readonly (PageRecord | undefined)[];
}

interface RootLoad {
  readonly root: RootRecord;
  /** The snapshot at the start of the load; a later one may contain values of newer revisions. */
  readonly base: StoreSnapshot | undefined;
  readonly pages: Map<number, PageRecord>;
  readonly services: Map<string, ServiceConfiguration>;
  drains: DrainRecord | undefined;
  /**
   * Keys still to be read; `use` handles the text of a record and returns false if it is malformed.
   */
  readonly pendingReads: { readonly key: string; readonly use: (text: string) => boolean }[];
  readsInFlight: number;
}

/** Loads configurations from the store, reading only the records that changed since the last load. */
export class RootLoader {
  private snapshot: StoreSnapshot | undefined;
  private load: RootLoad | undefined;
  private queuedRoot: RootRecord | undefined;
  private readonly backOff: BackOff;

  public constructor(
    private readonly requests: StoreRequests,
    private readonly timers: Timers,
    random: RandomSource,
    private readonly onLoaded: (configuration: Configuration, now: ClockReading) => void,
    /**
     * Called if a record that the root refers to is missing or malformed; the root has to be read
     * again.
     */
    private readonly onFailed: (key: string, now: ClockReading) => void,
  ) {
    this.backOff = new BackOff(random, 100, 2_000);
  }

  /** Whether a snapshot exists, so that a new root requires only reads of the changed records. */
  public get canLoadIncrementally(): boolean {
    return this.snapshot !== undefined;
  }

  /** Records which root a configuration that is already in force belongs to. */
  public adopt(root: RootRecord, configuration: Configuration): void {
    if (this.snapshot !== undefined && this.snapshot.root.revision >= root.revision) return;
    const known = this.snapshot;
    const pages = root.pages.map((page, index) =>
      known?.root.pages[index] === page ? known?.pages[index] : undefined,
    );
    this.snapshot = { root, configuration, pages };
  }

  /** Starts to read the records of a root; during a load, a newer root is queued. */
  public start(root: RootRecord, now: ClockReading): void {
    if (this.load !== undefined) {
      if (root.revision > (this.queuedRoot ?? this.load.root).revision) this.queuedRoot = root;
      return;
    }
    const load: RootLoad = {
      root,
      base: this.snapshot,
      pages: new Map(),
      services: new Map(),
      drains: { drainedServers: [], drainedAvailabilityZones: [] },
      pendingReads: [],
      readsInFlight: 0,
    };
    this.load = load;
    this.queuePages(load);
    this.queueDrains(load);
    this.startPendingReads(load, now);
  }

  private queuePages(load: RootLoad): void {
    for (let page = 0; page < pageCount; page += 1) {
      const pageId = load.root.pages[page];
      if (load.base !== undefined && load.base.root.pages[page] === pageId) continue;
      if (pageId === undefined) {
        load.pages.set(page, new Map());
        continue;
      }
      load.pendingReads.push({
        key: pageKey(page, pageId),
        use: (text) => this.applyPage(load, page, text),
      });
    }
  }

  private queueDrains(load: RootLoad): void {
    const { drains } = load.root;
    if (load.base !== undefined && load.base.root.drains === drains) {
      load.drains = load.base.configuration;
    } else if (drains !== undefined) {
      load.pendingReads.push({
        key: drainsKey(drains),
        use: (text) => {
          load.drains = decodeDrains(text);
          return load.drains !== undefined;
        },
      });
    }
  }

  private applyPage(load: RootLoad, page: number, text: string): boolean {
    const record = decodePage(text);
    if (record === undefined) return false;
    load.pages.set(page, record);
    for (const [name, changeId] of record) {
      const known = load.base?.configuration.services[name];
      if (known !== undefined && load.base?.pages[page]?.get(name) === changeId) {
        load.services.set(name, known);
        continue;
      }
      load.pendingReads.push({
        key: serviceKey(name, changeId),
        use: (value) => {
          const service = decodeService(value, name);
          if (service !== undefined) load.services.set(name, service);
          return service !== undefined;
        },
      });
    }
    return true;
  }

  private startPendingReads(load: RootLoad, now: ClockReading): void {
    while (load.readsInFlight < maximumConcurrentReads) {
      const read = load.pendingReads.shift();
      if (read === undefined) break;
      load.readsInFlight += 1;
      this.read(load, read.key, read.use, now);
    }
    if (load.readsInFlight === 0 && load.pendingReads.length === 0) this.finish(load, now);
  }

  private read(
    load: RootLoad,
    key: string,
    use: (text: string) => boolean,
    now: ClockReading,
  ): void {
    this.requests.start({ kind: 'read', key }, now, (result, later) => {
      if (this.load !== load) return;
      if (result.kind === 'found' && use(result.entry.value)) {
        this.backOff.reset();
        load.readsInFlight -= 1;
        this.startPendingReads(load, later);
      } else if (result.kind === 'found' || result.kind === 'missing') {
        this.fail(key, later);
      } else {
        this.timers.schedule(later, this.backOff.nextDelay(), (retryTime) => {
          if (this.load === load) this.read(load, key, use, retryTime);
        });
      }
    });
  }

  private fail(key: string, now: ClockReading): void {
    this.load = undefined;
    if (!this.startQueuedRoot(now)) this.onFailed(key, now);
  }

  private finish(load: RootLoad, now: ClockReading): void {
    const services: Record<string, ServiceConfiguration> = {};
    const known = load.base?.configuration.services ?? {};
    for (const [name, service] of Object.entries(known)) {
      if (!load.pages.has(pageIndexOf(name))) services[name] = service;
    }
    for (const [name, service] of load.services) {
      services[name] = service;
    }
    const configuration: Configuration = {
      revision: load.root.revision,
      services,
      drainedServers: load.drains?.drainedServers ?? [],
      drainedAvailabilityZones: load.drains?.drainedAvailabilityZones ?? [],
    };
    const pages = load.root.pages.map((_, page) => load.pages.get(page) ?? load.base?.pages[page]);
    if (load.root.revision > (this.snapshot?.root.revision ?? 0)) {
      this.snapshot = { root: load.root, configuration, pages };
    }
    this.load = undefined;
    this.onLoaded(configuration, now);
    this.startQueuedRoot(now);
  }

  private startQueuedRoot(now: ClockReading): boolean {
    const { queuedRoot } = this;
    this.queuedRoot = undefined;
    if (queuedRoot === undefined) return false;
    this.start(queuedRoot, now);
    return true;
  }
}
