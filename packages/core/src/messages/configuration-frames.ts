import type { Configuration } from './service-configuration.js';

/** Passes a revision on: the changed parts if the receiver has the base, else it pulls. */
export interface ConfigurationPushFrame {
  readonly kind: 'configuration-push';
  readonly baseRevision: number;
  readonly revision: number;
  /** The whole configuration, or only the changed services when `baseRevision` is above 0. */
  readonly configuration: Configuration;
  readonly removedServices: readonly string[];
  /** False when the drained servers and zones are as at the base; they are then left out. */
  readonly drainsChanged: boolean;
}

/** Says that a revision is in force at the sender; a receiver that lacks it pulls it. */
export interface ConfigurationAnnouncementFrame {
  readonly kind: 'configuration-announcement';
  readonly revision: number;
}

export interface ConfigurationPullFrame {
  readonly kind: 'configuration-pull';
  readonly haveRevision: number;
}

export type ConfigurationFrame =
  ConfigurationAnnouncementFrame | ConfigurationPushFrame | ConfigurationPullFrame;
