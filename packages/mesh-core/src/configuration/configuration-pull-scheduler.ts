import { hashString } from '@peridotspring/core';

/** Time for a new version to arrive from the store before it is requested from another node. */
const storeHeadStartMilliseconds = 400;
/** Time after which the version is requested from another node because the first did not respond. */
const responseTimeoutMilliseconds = 500;

interface VersionSource {
  readonly version: number;
  readonly isInSameZone: boolean;
}

/**
 * Decides when to request a configuration from another node, and from which. Sending it between all nodes would
 * cost its size times the square of their number. Nodes therefore announce only its version to each other, and
 * those that do not watch the store, or can't reach it, request the content from one node.
 */
export class ConfigurationPullScheduler {
  private readonly sources = new Map<string, VersionSource>();
  private newestVersion = 0;
  private pullDueAt = Infinity;

  public constructor(private readonly ownName: string) {}

  /** Handles the announcement of the version that a node has in force. */
  public onVersionAnnounced(
    node: string,
    version: number,
    isInSameZone: boolean,
    now: number,
  ): void {
    this.sources.set(node, { isInSameZone, version });
    if (version <= this.newestVersion) return;
    this.newestVersion = version;
    this.pullDueAt = Math.min(this.pullDueAt, now + storeHeadStartMilliseconds);
  }

  /** The newest version that a node has announced; 0 before the first one. */
  public get newestAnnouncedVersion(): number {
    return this.newestVersion;
  }

  public removeNode(node: string): void {
    this.sources.delete(node);
  }

  /**
   * Returns the node from which a newer version should be requested now, if any, and removes it from the
   * candidates. A node that watches the store first gives the store time to deliver the version.
   */
  public takeDueSource(ownVersion: number, isWatching: boolean, now: number): string | undefined {
    if (this.newestVersion <= ownVersion) {
      this.pullDueAt = Infinity;
      return undefined;
    }
    // A node without any configuration can't serve requests, so it does not wait for the store.
    const skippedHeadStart = ownVersion > 0 && isWatching ? 0 : storeHeadStartMilliseconds;
    if (now < this.pullDueAt - skippedHeadStart) return undefined;
    this.pullDueAt = now + skippedHeadStart + responseTimeoutMilliseconds;
    let best: [node: string, source: VersionSource] | undefined;
    for (const [node, source] of this.sources) {
      if (source.version <= ownVersion) continue;
      if (best === undefined || this.isPreferred(node, source, ...best)) best = [node, source];
    }
    if (best === undefined) return undefined;
    // The next request goes to another node, in case this one does not respond.
    this.sources.delete(best[0]);
    return best[0];
  }

  private isPreferred(
    node: string,
    source: VersionSource,
    otherNode: string,
    other: VersionSource,
  ): boolean {
    if (source.version !== other.version) return source.version > other.version;
    if (source.isInSameZone !== other.isInSameZone) return source.isInSameZone;
    // The hash spreads requests over equal sources, so that no node has to send the content to all others.
    return hashString(`${this.ownName} ${node}`) < hashString(`${this.ownName} ${otherNode}`);
  }
}
