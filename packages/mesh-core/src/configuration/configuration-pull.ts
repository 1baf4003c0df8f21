/** Time that the store has to bring a version itself before another node is asked for it. */
const storeFirstMilliseconds = 400;
/** A node that was asked and did not answer is not waited for longer. */
const answerMilliseconds = 500;

interface Source {
  readonly version: number;
  readonly isNear: boolean;
}

/**
 * When to ask another node for a configuration. All nodes read it from the store; sending it between
 * all of them as well would cost its size times the square of their number, so they only tell each
 * other its version, and one that the store does not reach asks for the content.
 */
export class ConfigurationPull {
  private readonly sources = new Map<string, Source>();
  private newest = 0;
  private dueAt = Infinity;

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

  /** The node to ask now, if one has a newer version than this one for long enough. */
  public due(ownVersion: number, now: number): string | undefined {
    if (this.newest <= ownVersion) {
      this.dueAt = Infinity;
      return undefined;
    }
    // A node without any configuration can serve nobody, so it does not wait for the store.
    const patience = ownVersion === 0 ? storeFirstMilliseconds : 0;
    if (now < this.dueAt - patience) return undefined;
    this.dueAt = now + patience + answerMilliseconds;
    let best: [node: string, source: Source] | undefined;
    for (const [node, source] of this.sources) {
      if (source.version <= ownVersion) continue;
      if (best === undefined || isBetter(source, best[1])) best = [node, source];
    }
    if (best === undefined) return undefined;
    // Another node is asked next time, in case this one does not answer.
    this.sources.delete(best[0]);
    return best[0];
  }
}

function isBetter(first: Source, second: Source): boolean {
  if (first.version !== second.version) return first.version > second.version;
  return first.isNear && !second.isNear;
}
