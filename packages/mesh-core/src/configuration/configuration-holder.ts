import type { RouteConfiguration } from '../routes/route-configuration.js';
import { RouteTable } from '../routes/route-table.js';

/** A configuration in force, with what the operator wrote. */
export interface ConfigurationInForce {
  readonly configuration: RouteConfiguration;
  readonly table: RouteTable;
  /** As the operator wrote it, for nodes that can't read the store. */
  readonly content: Uint8Array;
}

/** The newest configuration that this node has seen. An older one never replaces it. */
export class ConfigurationHolder {
  private current: ConfigurationInForce | undefined;

  public get inForce(): ConfigurationInForce | undefined {
    return this.current;
  }

  public get version(): number {
    return this.current?.configuration.version ?? 0;
  }

  /** True if the configuration is newer and in force now. */
  public offer(configuration: RouteConfiguration, content: Uint8Array): boolean {
    if (this.current !== undefined && configuration.version <= this.version) return false;
    this.current = { configuration, content, table: new RouteTable(configuration) };
    return true;
  }
}
