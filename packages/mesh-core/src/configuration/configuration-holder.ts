import type { RouteConfiguration } from '../routes/route-configuration.js';
import { RouteTable } from '../routes/route-table.js';

/** The configuration in force, with its source text. */
export interface ConfigurationInForce {
  readonly configuration: RouteConfiguration;
  readonly table: RouteTable;
  /** The source text as the operator wrote it, to be sent to nodes that can't read the store. */
  readonly content: Uint8Array;
}

/** Result of offering a configuration to the holder. */
export const OfferResult = {
  /** It has the version in force but different content; the configuration in force stays. */
  Differs: 'differs',
  InForce: 'in-force',
  Older: 'older',
  Same: 'same',
} as const;
export type OfferResult = (typeof OfferResult)[keyof typeof OfferResult];

/** Holds the newest configuration that this node has received. An older one never replaces it. */
export class ConfigurationHolder {
  private current: ConfigurationInForce | undefined;

  public get inForce(): ConfigurationInForce | undefined {
    return this.current;
  }

  public get version(): number {
    return this.current?.configuration.version ?? 0;
  }

  /** Puts the configuration in force if it is newer than the current one. */
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
