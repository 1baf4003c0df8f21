import type { Question } from '@peridotspring/language/text';

import { FieldType, FieldUnit, type FieldDefinition } from './rows.js';

function text(name: string, documentation: string): FieldDefinition {
  return { documentation, name, type: FieldType.Text };
}

function count(name: string, documentation: string, unit?: FieldUnit): FieldDefinition {
  return { documentation, name, type: FieldType.Number, unit };
}

function flag(name: string, documentation: string): FieldDefinition {
  return { documentation, name, type: FieldType.Boolean };
}

const service = text('service', 'name of the service');
const server = text('server', 'name of the server');
const zone = text('zone', 'availability zone of the server');
const tenant = text('tenant', 'name of the tenant');
const request = text('request', 'request identifier, as in Peridotspring-Request-Id');
const at = text('at', 'time in UTC, ISO 8601; compares in time order');
const reason = text('reason', 'reason of the refusal or of the unknown outcome');
const outcome = text(
  'outcome',
  'answered, refused-not-run or outcome-unknown; empty while it runs',
);

const loadFields: readonly FieldDefinition[] = [
  count('servers', 'servers that reported a load'),
  count('in_flight', 'requests that the upstreams run'),
  count('queued', 'requests that wait at the gates'),
  count('limit', 'requests that the gates run at once now'),
  count('utilisation', '(in_flight + queued) / limit', FieldUnit.Share),
  count('latency_ms', 'highest smoothed latency of a server', FieldUnit.Milliseconds),
];

const useFields: readonly FieldDefinition[] = [
  count('in_flight', 'requests of the tenant that the upstreams run'),
  count('queued', 'requests of the tenant that wait at the gates'),
];

const seenLoadFields: readonly FieldDefinition[] = [
  text('state', 'state of the gate in the load report that came with the step'),
  count('in_flight', 'requests in flight in that load report'),
  count('queued', 'queued requests in that load report'),
  count('limit', 'limit of the gate in that load report'),
  count('latency_ms', 'latency in that load report', FieldUnit.Milliseconds),
];

const fieldsByQuestion: Readonly<
  Record<Exclude<Question['kind'], 'load'>, readonly FieldDefinition[]>
> = {
  budgets: [
    server,
    service,
    text('budget', 'probe, retry or key-records'),
    count('spent', 'used so far, in the unit of the budget'),
    count('allowed', 'what may be used, in the unit of the budget'),
    count('used_share', 'spent / allowed', FieldUnit.Share),
    text('unit', 'unit of spent and allowed'),
  ],
  change: [
    text('change', 'change identifier'),
    text('state', 'in-force, pending, conflict, rejected, not-found or unresolved'),
    count('revision', 'revision that the change produced or lost against'),
  ],
  configuration: [
    text('object', 'service, server or zone'),
    text('name', 'name of the object'),
    text('declaration', 'its declaration in the language'),
  ],
  homes: [
    service,
    server,
    zone,
    count('ranges', 'key ranges of which the server is the home, out of 16 of the service'),
    count('accepting', 'of them those that accept new keys now'),
    text('witnesses', 'servers that confirm the lease, a majority of which has to answer'),
    text('silent_witnesses', 'of them those without a valid promise to this home'),
    count('version', 'version of the home table that the server goes by'),
  ],
  key: [
    service,
    text('key', 'the idempotency key'),
    text('home', 'server that answered for the key'),
    text('state', 'running, ran, not-run, unknown or no-answer'),
    count('status', 'HTTP status of the recorded answer'),
  ],
  members: [
    server,
    zone,
    text('region', 'region of the server'),
    service,
    text('state', 'serving, warming, draining, suspect, dead or left'),
    count('slots', 'requests that the upstream runs at once'),
    flag('reachable', 'whether its zone and region can be reached from the node that was asked'),
    flag('drained', 'whether an operator drains the server or its zone'),
    text('address', 'peer address'),
    count('incarnation', 'start time of the process in Unix milliseconds'),
  ],
  platform: [
    server,
    zone,
    flag('reachable', "whether the last call to the platform's service was answered"),
    count('calls', 'calls since the start of the node'),
    count('failed_calls', 'calls without an answer since the start of the node'),
    count('last_answer_s', 'time since the last answer', FieldUnit.Seconds),
    count('latency_ms', 'smoothed latency of a call', FieldUnit.Milliseconds),
    flag('watching', 'whether the node watches the configuration root'),
  ],
  refusals: [
    service,
    outcome,
    reason,
    count('count', 'requests that ended this way in the time asked for'),
    text('last_at', 'time of the last one in UTC, to 10 seconds'),
  ],
  request: [
    at,
    request,
    text('entry', 'node that recorded the step: the entry, or the home of the key'),
    text('step', 'received, sent, refused, answered, failed, cancelled or concluded'),
    count(
      'after_ms',
      'time since the node that recorded the step learned of the request',
      FieldUnit.Milliseconds,
    ),
    text('server', 'server that the step is about'),
    reason,
    text('detail', 'class, receiver, retry reason, status or outcome, depending on the step'),
    ...seenLoadFields,
  ],
  requests: [
    request,
    at,
    text('entry', 'node that received the request'),
    service,
    tenant,
    text('class', 'idempotent or non-idempotent'),
    outcome,
    reason,
    count('status', 'HTTP status of the upstream'),
    count('attempts', 'attempts that were sent'),
    count('latency_ms', 'time from receipt to outcome', FieldUnit.Milliseconds),
  ],
  revision: [
    server,
    zone,
    count('revision', 'revision in force on the node'),
    flag('in_force', 'whether that is at least the revision of the node that was asked'),
  ],
  services: [
    service,
    flag('declared', 'whether an operator declared the service'),
    count('servers', 'members that announced the service and are not dead or gone'),
    count('serving', 'of them serving'),
    count('warming', 'of them warming up'),
    count('draining', 'of them draining, or drained by an operator'),
    count('suspect', 'of them suspected to be dead'),
    count('slots', 'sum of the slots of serving and warming members'),
    count('request_kinds', 'declared request kinds'),
  ],
  tenants: [
    service,
    tenant,
    count('weight', 'share relative to other tenants; 1 when none is declared'),
    flag('declared', 'whether a weight is declared'),
    ...useFields,
  ],
};

/** The fields of a question's rows, in the order in which they are shown. */
export function fieldsOf(question: Question): readonly FieldDefinition[] {
  if (question.kind !== 'load') return fieldsByQuestion[question.kind];
  switch (question.by) {
    case 'service':
      return [service, ...loadFields];
    case 'zone':
      return [zone, ...loadFields];
    case 'server':
      return [server, zone, service, text('state', 'state of the gate'), ...loadFields];
    case 'tenant':
      return [tenant, ...useFields];
  }
}
