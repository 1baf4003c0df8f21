import type { RouteConfiguration } from '../routes/route-configuration.js';
import { RouteTable } from '../routes/route-table.js';

/** A configuration in force, with what the operator wrote. */
export interface ConfigurationInForce {
  readonly configuration: RouteConfiguration;
  readonly table: RouteTable;
  /** As the operator wrote it, for nodes that can't read the store. */
  readonly content: Uint8Array;
}

/** What became of a configuration that was offered. */
export const OfferResult = {
  /** It has the version in force and says something else; what is in force stays. */
  Differs: 'differs',
  InForce: 'in-force',
  Older: 'older',
  Same: 'same',
} as const;
export type OfferResult = (typeof OfferResult)[keyof typeof OfferResult];

/** The newest configuration that this node has seen. An older one never replaces it. */
export class ConfigurationHolder {
  private current: ConfigurationInForce | undefined;

  public get inForce(): ConfigurationInForce | undefined {
    return this.current;
  }

  public get version(): number {
    return this.current?.configuration.version ?? 0;
  }

  /** A newer configuration is in force from now on. */
  public offer(configuration: RouteConfiguration, content: Uint8Array): OfferResult {
    if (this.current !== undefined) {
      if (configuration.version < this.version) return OfferResult.Older;
      if (configuration.version === this.version) {
        const isSame = Buffer.compare(content, this.current.content) === 0;
        return isSame ? OfferResult.Same : OfferResult.Differs;
      }
    }
    this.current = { configuration, content, table: new RouteTable(configuration) };
    return OfferResult.InForce;
  }
}
