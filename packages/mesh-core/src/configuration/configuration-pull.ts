import { hashString } from '@peridotspring/core';

/** Time that the store has to bring a version itself before another node is asked for it. */
const storeFirstMilliseconds = 400;
/** A node that was asked and did not answer is not waited for longer. */
const answerMilliseconds = 500;

interface Source {
  readonly version: number;
  readonly isNear: boolean;
}

/**
 * When to ask another node for a configuration. Sending it between all nodes would cost its size times
 * the square of their number, so they only tell each other its version, and those that do not watch the
 * store, or that it does not reach, ask one node for the content.
 */
export class ConfigurationPull {
  private readonly sources = new Map<string, Source>();
  private newest = 0;
  private dueAt = Infinity;

  public constructor(private readonly self: string) {}

  /** A node told the version that it has in force. */
  public heard(node: string, version: number, isNear: boolean, now: number): void {
    this.sources.set(node, { isNear, version });
    if (version <= this.newest) return;
    this.newest = version;
    this.dueAt = Math.min(this.dueAt, now + storeFirstMilliseconds);
  }

  public forget(node: string): void {
    this.sources.delete(node);
  }

  /**
   * The node to ask now, if one has a newer version than this one. A node that watches the store waits for
   * it first.
   */
  public due(ownVersion: number, isWatching: boolean, now: number): string | undefined {
    if (this.newest <= ownVersion) {
      this.dueAt = Infinity;
      return undefined;
    }
    // A node without any configuration can serve nobody, so it does not wait for the store.
    const patience = ownVersion > 0 && isWatching ? 0 : storeFirstMilliseconds;
    if (now < this.dueAt - patience) return undefined;
    this.dueAt = now + patience + answerMilliseconds;
    let best: [node: string, source: Source] | undefined;
    for (const [node, source] of this.sources) {
      if (source.version <= ownVersion) continue;
      if (best === undefined || this.isBetter(node, source, ...best)) best = [node, source];
    }
    if (best === undefined) return undefined;
    // Another node is asked next time, in case this one does not answer.
    this.sources.delete(best[0]);
    return best[0];
  }

  private isBetter(node: string, source: Source, otherNode: string, other: Source): boolean {
    if (source.version !== other.version) return source.version > other.version;
    if (source.isNear !== other.isNear) return source.isNear;
    // Equal sources are spread over those who ask, so that no node sends the content to all others.
    return hashString(`${this.self} ${node}`) < hashString(`${this.self} ${otherNode}`);
  }
}
