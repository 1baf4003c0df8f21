import type { HomeTable } from '../messages/home-table.js';

/** The newest committed table of each service that this node has seen. */
export class TableBook {
  private readonly tables = new Map<string, HomeTable>();

  public get(service: string): HomeTable | undefined {
    return this.tables.get(service);
  }

  /** Takes a table over; returns whether it is newer than the known one. */
  public adopt(table: HomeTable): boolean {
    const known = this.tables.get(table.service);
    if (known !== undefined && known.version >= table.version) return false;
    this.tables.set(table.service, table);
    return true;
  }
}
