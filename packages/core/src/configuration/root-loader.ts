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
  pageOf,
  serviceKey,
  type DrainRecord,
  type PageRecord,
  type RootRecord,
} from './store-layout.js';

/** Reads at the store at a time; a whole load of 1,300 services must not crowd out other nodes. */
const maximumReads = 32;

/** What the store held at a revision, as far as this node has read it. */
interface StoreView {
  readonly root: RootRecord;
  readonly configuration: Configuration;
  readonly pages: readonly (PageRecord | undefined)[];
}

interface Load {
  readonly root: RootRecord;
  /** The view at the start: a later one may already hold values of newer revisions. */
  readonly base: StoreView | undefined;
  readonly pages: Map<number, PageRecord>;
  readonly services: Map<string, ServiceConfiguration>;
  drains: DrainRecord | undefined;
  /** Keys that are still to be read, with what to do with their text; false means malformed. */
  readonly waiting: { readonly key: string; readonly use: (text: string) => boolean }[];
  reading: number;
}

/** Reads configurations from the store, only the records that differ from what it has read before. */
export class RootLoader {
  private view: StoreView | undefined;
  private load: Load | undefined;
  private next: RootRecord | undefined;
  private readonly backOff: BackOff;

  public constructor(
    private readonly requests: StoreRequests,
    private readonly timers: Timers,
    random: RandomSource,
    private readonly loaded: (configuration: Configuration, now: ClockReading) => void,
    /** A record that the root refers to is missing or malformed, so the root has to be read again. */
    private readonly failed: (key: string, now: ClockReading) => void,
  ) {
    this.backOff = new BackOff(random, 100, 2_000);
  }

  /** Whether a new root costs only the reads of what changed. */
  public get isWarm(): boolean {
    return this.view !== undefined;
  }

  /** Takes over which records make up a configuration that is already known. */
  public adopt(root: RootRecord, configuration: Configuration): void {
    if (this.view !== undefined && this.view.root.revision >= root.revision) return;
    const known = this.view;
    const pages = root.pages.map((page, index) =>
      known?.root.pages[index] === page ? known?.pages[index] : undefined,
    );
    this.view = { root, configuration, pages };
  }

  /** Starts to read what the root refers to; a newer root waits until the current load has ended. */
  public start(root: RootRecord, now: ClockReading): void {
    if (this.load !== undefined) {
      if (root.revision > (this.next ?? this.load.root).revision) this.next = root;
      return;
    }
    const load: Load = {
      root,
      base: this.view,
      pages: new Map(),
      services: new Map(),
      drains: { drainedServers: [], drainedAvailabilityZones: [] },
      waiting: [],
      reading: 0,
    };
    this.load = load;
    this.queuePages(load);
    this.queueDrains(load);
    this.proceed(load, now);
  }

  private queuePages(load: Load): void {
    for (let page = 0; page < pageCount; page += 1) {
      const pageId = load.root.pages[page];
      if (load.base !== undefined && load.base.root.pages[page] === pageId) continue;
      if (pageId === undefined) {
        load.pages.set(page, new Map());
        continue;
      }
      load.waiting.push({
        key: pageKey(page, pageId),
        use: (text) => this.usePage(load, page, text),
      });
    }
  }

  private queueDrains(load: Load): void {
    const { drains } = load.root;
    if (load.base !== undefined && load.base.root.drains === drains) {
      load.drains = load.base.configuration;
    } else if (drains !== undefined) {
      load.waiting.push({
        key: drainsKey(drains),
        use: (text) => {
          load.drains = decodeDrains(text);
          return load.drains !== undefined;
        },
      });
    }
  }

  private usePage(load: Load, page: number, text: string): boolean {
    const record = decodePage(text);
    if (record === undefined) return false;
    load.pages.set(page, record);
    for (const [name, changeId] of record) {
      const known = load.base?.configuration.services[name];
      if (known !== undefined && load.base?.pages[page]?.get(name) === changeId) {
        load.services.set(name, known);
        continue;
      }
      load.waiting.push({
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

  private proceed(load: Load, now: ClockReading): void {
    while (load.reading < maximumReads) {
      const read = load.waiting.shift();
      if (read === undefined) break;
      load.reading += 1;
      this.read(load, read.key, read.use, now);
    }
    if (load.reading === 0 && load.waiting.length === 0) this.finish(load, now);
  }

  private read(load: Load, key: string, use: (text: string) => boolean, now: ClockReading): void {
    this.requests.start({ kind: 'read', key }, now, (result, later) => {
      if (this.load !== load) return;
      if (result.kind === 'found' && use(result.entry.value)) {
        this.backOff.reset();
        load.reading -= 1;
        this.proceed(load, later);
      } else if (result.kind === 'found' || result.kind === 'missing') {
        this.abandon(key, later);
      } else {
        this.timers.after(later, this.backOff.next(), (retryTime) => {
          if (this.load === load) this.read(load, key, use, retryTime);
        });
      }
    });
  }

  private abandon(key: string, now: ClockReading): void {
    this.load = undefined;
    if (!this.startNext(now)) this.failed(key, now);
  }

  private finish(load: Load, now: ClockReading): void {
    const services: Record<string, ServiceConfiguration> = {};
    const known = load.base?.configuration.services ?? {};
    for (const [name, service] of Object.entries(known)) {
      if (!load.pages.has(pageOf(name))) services[name] = service;
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
    if (load.root.revision > (this.view?.root.revision ?? 0)) {
      this.view = { root: load.root, configuration, pages };
    }
    this.load = undefined;
    this.loaded(configuration, now);
    this.startNext(now);
  }

  private startNext(now: ClockReading): boolean {
    const { next } = this;
    this.next = undefined;
    if (next === undefined) return false;
    this.start(next, now);
    return true;
  }
}
