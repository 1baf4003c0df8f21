import type { HomeTable } from '../messages/home-table.js';

/** The newest committed home table of each service known to this node. */
export class HomeTableRegistry {
  private readonly tables = new Map<string, HomeTable>();

  public get(service: string): HomeTable | undefined {
    return this.tables.get(service);
  }

  /** Replaces the known table if this one is newer; returns whether it did. */
  public adopt(table: HomeTable): boolean {
    const known = this.tables.get(table.service);
    if (known !== undefined && known.version >= table.version) return false;
    this.tables.set(table.service, table);
    return true;
  }
}
