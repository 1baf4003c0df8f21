import type { Configuration } from './service-configuration.js';

/**
 * Sends a configuration revision, as changes to `baseRevision`. A receiver that does not have that
 * base pulls the configuration instead.
 */
export interface ConfigurationPushFrame {
  readonly kind: 'configuration-push';
  readonly baseRevision: number;
  readonly revision: number;
  /** The whole configuration, or only the changed services when `baseRevision` is above 0. */
  readonly configuration: Configuration;
  readonly removedServices: readonly string[];
  /**
   * False if the drained servers and zones are the same as at `baseRevision`; they are then
   * omitted.
   */
  readonly drainsChanged: boolean;
}

/** Announces the revision in force at the sender; a receiver that lacks it pulls it. */
export interface ConfigurationAnnouncementFrame {
  readonly kind: 'configuration-announcement';
  readonly revision: number;
}

/** Asks a peer for its configuration. */
export interface ConfigurationPullFrame {
  readonly kind: 'configuration-pull';
  /** Revision in force at the sender, used as the base of the reply. */
  readonly haveRevision: number;
}

export type ConfigurationFrame =
  ConfigurationAnnouncementFrame | ConfigurationPushFrame | ConfigurationPullFrame;
