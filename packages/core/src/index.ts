export * from './messages/index.js';
export type { ClockReading } from './shared/clock-reading.js';
export { assertInvariant, InvariantError } from './shared/invariant-error.js';
export { nextInteger, pickRandom, SeededRandomSource, shuffled } from './shared/random-source.js';
export type { RandomSource } from './shared/random-source.js';
export * from './calls/call-contract.js';
export * from './configuration/configuration-contract.js';
export { ConfigurationKeeper } from './configuration/configuration-keeper.js';
export type { ConfigurationKeeperOptions } from './configuration/configuration-keeper.js';
export { changeIdPattern, configurationLimits } from './configuration/configuration-limits.js';
export {
  describeConfigurationFault,
  isConfiguration,
  parseService,
  validateConfiguration,
  validateService,
} from './configuration/configuration-validation.js';
export type { ConfigurationFault } from './configuration/field-checks.js';
export * from './gate/gate-contract.js';
export * from './homes/home-contract.js';
export * from './membership/membership-contract.js';
export { Membership } from './membership/membership.js';
export type { MembershipOptions } from './membership/membership.js';
export type { Seed } from './membership/seed-layout.js';
export * from './routing/router-contract.js';
export { HomeKeeper } from './homes/home-keeper.js';
export { defaultHomeSettings } from './homes/home-settings.js';
export type { HomeSettings } from './homes/home-settings.js';
export { creationTimeOf } from './homes/creation-time.js';
export { rendezvousHash } from './homes/key-hash.js';
