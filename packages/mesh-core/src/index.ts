export { findAnswerFault, findStatusFault, judgeResponse } from './answers/response-rules.js';
export type { ResponseHead, ResponseVerdict } from './answers/response-rules.js';
export { AllotmentAdmission } from './allotments/allotment-admission.js';
export type {
  AllotmentAdmissionOptions,
  AllotmentUsage,
} from './allotments/allotment-admission.js';
export { toAllotmentBounds } from './allotments/allotment-bounds.js';
export type { AllotmentTolerance } from './allotments/allotment-bounds.js';
export { brokerGroupCount } from './allotments/allotment-timing.js';
export { RetryBudget } from './budget/retry-budget.js';
export type { RetryBudgetOptions } from './budget/retry-budget.js';
export { ClientFault, statusOfClientFault } from './clients/client-fault.js';
export {
  connectionProcessing,
  deferredProcessing,
  parsingCost,
  processingCost,
} from './clients/input-cost.js';
export {
  connectionBytes,
  headMemory,
  peerConnectionBytes,
  requestBytes,
} from './clients/message-memory.js';
export { findFormFault } from './clients/request-form.js';
export type { RequestFormRules } from './clients/request-form.js';
export { ProcessingAllowance } from './clients/processing-allowance.js';
export type { ProcessingAllowanceOptions } from './clients/processing-allowance.js';
export { UnproductiveInput } from './clients/unproductive-input.js';
export { ConfigurationFreshness } from './configuration/configuration-freshness.js';
export { ConfigurationHolder, OfferResult } from './configuration/configuration-holder.js';
export type { ConfigurationInForce } from './configuration/configuration-holder.js';
export { ConfigurationPullScheduler } from './configuration/configuration-pull-scheduler.js';
export { StoreWatchElection } from './configuration/store-watch-election.js';
export type { WatchTurn } from './configuration/store-watch-election.js';
export { EvacuatedZones } from './evacuation/evacuated-zones.js';
export type { EvacuationRead } from './evacuation/evacuated-zones.js';
export { EntryEventName, RefusalCause, UnknownCause } from './entry/entry-contract.js';
export type { EntryEvent, EntryOutcome, EntryPort, EntryRequest } from './entry/entry-contract.js';
export { RequestForwarder } from './entry/request-forwarder.js';
export type { RequestForwarderOptions } from './entry/request-forwarder.js';
export { stoppingRetryAfterMilliseconds } from './entry/stop-admission.js';
export type { StopSchedule } from './entry/stop-admission.js';
export { BoundedMap } from './shared/bounded-map.js';
export { DepartureLedger, IncarnationStatus } from './departures/departure-ledger.js';
export type { DepartureRecords } from './departures/departure-ledger.js';
export { GateEventName, ServerEvidence, ServerNotUsedReason } from './gate/gate-contract.js';
export { toColdStartLimit } from './gate/cold-start-limit.js';
export type { ColdStartLimit, ColdStartTolerance } from './gate/cold-start-limit.js';
export type {
  Execution,
  ExecutionResult,
  GateEvent,
  GatePort,
  GateStopSchedule,
  ServerLoad,
  ServerNotice,
  ServerReport,
} from './gate/gate-contract.js';
export { LoadAnnouncer } from './gate/load-announcer.js';
export { ServerGate } from './gate/server-gate.js';
export type { ServerGateOptions } from './gate/server-gate.js';
export { ReportEffect, ServerIncarnationTracker } from './gate/server-incarnation-tracker.js';
export { ConnectionAction, ConnectionMonitor } from './membership/connection-monitor.js';
export { rankBrokers } from './membership/broker-ranking.js';
export { EndedServers } from './membership/ended-servers.js';
export { NodeDirectory } from './membership/node-directory.js';
export { CollectionSchedule } from './memory/collection-schedule.js';
export { MemoryAccount } from './memory/memory-account.js';
export type { MemoryAccountOptions } from './memory/memory-account.js';
export type { MemoryHold } from './memory/memory-hold.js';
export { MemoryPlace } from './memory/memory-place.js';
export { maximumFullMeshNodes, PeerSelection } from './membership/peer-selection.js';
export { zoneRank } from './membership/zone-rank.js';
export type { AllotmentAskFrame, AllotmentGrantFrame } from './messages/allotment-frames.js';
export { DeclineReason, ServerState } from './messages/mesh-frames.js';
export type {
  AnsweredFrame,
  CancelFrame,
  ConfigurationFrame,
  ControlFrame,
  CrashRecord,
  CrashReport,
  DeclinedFrame,
  EndedServer,
  RecordRequest,
  EvacuatedZone,
  EvacuationSnapshot,
  FailedFrame,
  GateLoad,
  HeaderList,
  HeldZone,
  LeavingFrame,
  LoadFrame,
  MembersFrame,
  MeshFrame,
  MeshNode,
  EndedNodeServer,
  ProofFrame,
  ProofRequestFrame,
  ReplyFrame,
  RequestFrame,
  StartFrame,
  VersionFrame,
} from './messages/mesh-frames.js';
export { RequestQuarantine } from './quarantine/request-quarantine.js';
export type {
  CrashedRun,
  RequestQuarantineOptions,
  RequestScreening,
  RequestSuspicion,
} from './quarantine/request-quarantine.js';
export type { Digest, RequestIdentity } from './quarantine/request-fingerprint.js';
export { isSameZone } from './shared/same-zone.js';
export type { Location } from './shared/same-zone.js';
export { defaultOtherZoneCostPerKilobyte, PlacementPolicy } from './placement/placement-policy.js';
export { RouteServiceTimes } from './placement/route-service-times.js';
export type {
  GateChoice,
  PlacementContext,
  PlacementPolicyOptions,
} from './placement/placement-policy.js';
export { GateTable } from './placement/gate-table.js';
export type { GateView } from './placement/gate-table.js';
export type {
  CallerLimits,
  Route,
  RouteConfiguration,
  RoutedService,
  ServiceColdStart,
  WeightedService,
} from './routes/route-configuration.js';
export { parseBearerKey } from './tenants/bearer-credentials.js';
export { ConfigurationProof } from './tenants/configuration-proof.js';
export type { ProvenVersion } from './tenants/configuration-proof.js';
export { LeaseClock } from './tenants/lease-clock.js';
export { ProofExchange } from './tenants/proof-exchange.js';
export type { ProofAnswer, ProofAsk } from './tenants/proof-exchange.js';
export { authorizeRequest, DenialCause } from './tenants/request-authorizer.js';
export type { Authorization, AuthorizationContext } from './tenants/request-authorizer.js';
export type { Allotment, Tenant } from './tenants/tenant.js';
export { TenantDirectory } from './tenants/tenant-directory.js';
export { RouteTable } from './routes/route-table.js';
export { TrafficSplit } from './routes/traffic-split.js';
export {
  endToEndHeaders,
  headerValue,
  headerValues,
  toOutgoingHeaders,
} from './messages/header-list.js';
