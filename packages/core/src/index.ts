export * from './messages/index.js';
export type { ClockReading } from './shared/clock-reading.js';
export { assertInvariant, InvariantError } from './shared/invariant-error.js';
export { ByteAccumulator } from './shared/byte-accumulator.js';
export { containError, toContainableError } from './shared/contain-error.js';
export { nextInteger, pickRandom, SeededRandomSource, shuffled } from './shared/random-source.js';
export type { RandomSource } from './shared/random-source.js';
export { hashString } from './shared/string-hash.js';
export * from './calls/call-contract.js';
export { CallEngine } from './calls/call-engine.js';
export * from './configuration/configuration-contract.js';
export { ConfigurationManager } from './configuration/configuration-manager.js';
export type { ConfigurationManagerOptions } from './configuration/configuration-manager.js';
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
export type { Seed } from './membership/seed-encoding.js';
export * from './routing/router-contract.js';
export * from './entry/request-rules.js';
export { CounterName } from './node/outbox.js';
export { NodeCore } from './node/node-core.js';
export type { NodeCoreOptions, NodeSubsystems } from './node/node-subsystems.js';
export * from './routing/baseline-policies.js';
export * from './routing/power-of-choices-policy.js';
export * from './routing/router.js';
export * from './routing/router-options.js';
export * from './routing/selection-policy.js';
export { MinimumHeap } from './shared/minimum-heap.js';
export { TokenBucket } from './shared/token-bucket.js';
export type { TokenBucketOptions } from './shared/token-bucket.js';
export { TargetPool } from './routing/target-pool.js';
export { TargetStatus, TargetState } from './routing/target-state.js';
export type { ConcurrencyLimit, ConcurrencySample } from './gate/concurrency-limit.js';
export { Gate } from './gate/gate.js';
export { defaultGateSettings } from './gate/gate-settings.js';
export type { GateSettings } from './gate/gate-settings.js';
export { defaultConcurrencyLimitSettings } from './gate/gradient-concurrency-limit.js';
export { GradientConcurrencyLimit } from './gate/gradient-concurrency-limit.js';
export type { ConcurrencyLimitSettings } from './gate/gradient-concurrency-limit.js';
export { defaultPollSettings, PollScheduler } from './probing/poll-scheduler.js';
export type { PollBudget, PollSettings } from './probing/poll-scheduler.js';
export { garbageCollectionKey, findChange, rootKey } from './configuration/store-layout.js';
export { createNodeCore } from './node/create-node-core.js';
export type { CreateNodeCoreOptions } from './node/create-node-core.js';
export { HomeManager } from './homes/home-manager.js';
export { defaultHomeSettings } from './homes/home-settings.js';
export type { HomeSettings } from './homes/home-settings.js';
export { creationTimeOf } from './homes/creation-time.js';
export { rendezvousHash } from './homes/key-hash.js';
