export { applyCommands } from './changes/apply-commands.js';
export type { ApplyResult } from './changes/apply-commands.js';
export { diffConfigurations } from './changes/difference.js';
export type { ConfigurationDifference } from './changes/difference.js';
export {
  answerNodeQuestion,
  decodeNodeAnswer,
  encodeNodeQuestion,
  revisionQuestion,
} from './gathering/node-question.js';
export type { NodeAnswer, NodeQuestion } from './gathering/node-question.js';
export { systemGatherClock } from './gathering/gather-clock.js';
export type { GatherClock } from './gathering/gather-clock.js';
export {
  decodeZoneAnswer,
  decodeZoneQuestion,
  maximumNamesPerZone,
} from './gathering/zone-question.js';
export type { Tally, ZoneAnswer, ZoneQuestion, ZoneSurvey } from './gathering/zone-question.js';
export { ZoneSurveyor } from './gathering/zone-surveyor.js';
export type { SurveyRequest, ZoneSurveyorDependencies } from './gathering/zone-surveyor.js';
export { PeerGatherer } from './gathering/peer-gatherer.js';
export type { PeerTransport } from './gathering/peer-gatherer.js';
export { NodeBackend } from './node-backend.js';
export type { NodeBackendDependencies } from './node-backend.js';
export type {
  BudgetUsage,
  KeyView,
  MemberView,
  NodeView,
  PlatformStatus,
  Readiness,
  TenantUsage,
} from './node-view.js';
export { metricName, Metrics } from './observation/metrics.js';
export type { GaugeDefinition } from './observation/metrics.js';
export { RefusalHistory } from './observation/refusal-history.js';
export { defaultJournalBounds, RequestJournal } from './observation/request-journal.js';
export type {
  JournalBounds,
  JournalEntry,
  JournalStep,
  RequestStep,
} from './observation/request-journal.js';
export type {
  ChangePort,
  ChangeProposal,
  ChangeState,
  GatheredRows,
  GatherOptions,
  MissingNode,
  NodeRevision,
  OperatorBackend,
} from './operator-backend.js';
export { WorkerParser } from './parsing/statement-parser.js';
export type { StatementParser } from './parsing/statement-parser.js';
export { QueryRunner } from './query-runner.js';
export type { Query } from './query-runner.js';
export { fieldsOf } from './questions/fields.js';
export type { LocalSources } from './questions/local-rows.js';
export { FieldType, FieldUnit } from './questions/rows.js';
export type { FieldDefinition, Row, RowValue } from './questions/rows.js';
export { renderTable } from './render-table.js';
export { ChangeStatus } from './results.js';
export type {
  ChangeResult,
  InvalidQueryResult,
  InForceResult,
  QueryResult,
  RowsResult,
} from './results.js';
export { defaultOperatorServerLimits, OperatorServer } from './server/operator-server.js';
export type { OperatorServerLimits, OperatorServerOptions } from './server/operator-server.js';
export { SecretVerifier } from './server/secret-verifier.js';
export type { AcceptedSecrets } from './server/secret-verifier.js';
export { liveMembers } from './questions/member-status.js';
