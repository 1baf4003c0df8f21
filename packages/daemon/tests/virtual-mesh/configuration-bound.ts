import type { EventQueue } from './event-queue.js';

/** Time within which a change of the configuration must be in force on each node. */
export const configurationBoundMilliseconds = 2_000;
/** Time without any fault after which a node has to keep the bound. */
const stabilityMilliseconds = 3_000;
const checkIntervalMilliseconds = 100;

/** A node as far as the bound depends on it. */
export interface ObservedNode {
  readonly name: string;
  /** The version in force; 0 if there is none. */
  readonly version: number;
  /** Whether the process runs and can reach the store. */
  readonly isUnimpaired: boolean;
}

/** Records the nodes that have been without faults for some time and do not have a version in force in time. */
export class ConfigurationBound {
  /** Descriptions of the cases. */
  public readonly violations = new Set<string>();
  private readonly written: { readonly at: number; readonly version: number }[] = [];
  private readonly lastFaultAt = new Map<string, number>();

  public constructor(
    private readonly queue: EventQueue,
    private readonly nodes: () => readonly ObservedNode[],
  ) {}

  public start(): void {
    this.check();
    this.queue.after(checkIntervalMilliseconds, () => {
      this.start();
    });
  }

  public onVersionWritten(version: number): void {
    this.written.push({ at: this.queue.now, version });
  }

  /** A fault at the node ends at the given time. */
  public onFault(name: string, endsAt: number): void {
    this.lastFaultAt.set(name, endsAt);
  }

  private check(): void {
    const { now } = this.queue;
    const due = this.written.findLast(({ at }) => at <= now - configurationBoundMilliseconds);
    for (const { isUnimpaired, name, version } of this.nodes()) {
      if (!isUnimpaired) this.onFault(name, now);
      if (now - (this.lastFaultAt.get(name) ?? 0) < stabilityMilliseconds) continue;
      if (due !== undefined && version < due.version)
        this.violations.add(`${name}: version ${version} in force, ${due.version} is due`);
    }
  }
}
