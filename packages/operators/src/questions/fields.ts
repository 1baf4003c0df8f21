import type { Question } from '@peridotspring/language/text';

import { FieldType, FieldUnit, type FieldDefinition } from './rows.js';

function textField(name: string, documentation: string): FieldDefinition {
  return { documentation, name, type: FieldType.Text };
}

function numberField(name: string, documentation: string, unit?: FieldUnit): FieldDefinition {
  return { documentation, name, type: FieldType.Number, unit };
}

function booleanField(name: string, documentation: string): FieldDefinition {
  return { documentation, name, type: FieldType.Boolean };
}

const serviceField = textField('service', 'name of the service');
const serverField = textField('server', 'name of the server');
const zoneField = textField('zone', 'availability zone of the server');
const tenantField = textField('tenant', 'name of the tenant');
const requestField = textField('request', 'request identifier, as in Peridotspring-Request-Id');
const timeField = textField('at', 'time in UTC, ISO 8601; compares in time order');
const reasonField = textField('reason', 'reason of the refusal or of the unknown outcome');
const outcomeField = textField(
  'outcome',
  'answered, refused-not-run or outcome-unknown; empty while it runs',
);

const loadFields: readonly FieldDefinition[] = [
  numberField('servers', 'servers that reported a load'),
  numberField('in_flight', 'requests that the upstreams run'),
  numberField('queued', 'requests that wait at the gates'),
  numberField('limit', 'requests that the gates run at once now'),
  numberField('utilisation', '(in_flight + queued) / limit', FieldUnit.Share),
  numberField('latency_ms', 'highest smoothed latency of a server', FieldUnit.Milliseconds),
];

const usageFields: readonly FieldDefinition[] = [
  numberField('in_flight', 'requests of the tenant that the upstreams run'),
  numberField('queued', 'requests of the tenant that wait at the gates'),
];

const stepLoadFields: readonly FieldDefinition[] = [
  textField('state', 'state of the gate in the load report that came with the step'),
  numberField('in_flight', 'requests in flight in that load report'),
  numberField('queued', 'queued requests in that load report'),
  numberField('limit', 'limit of the gate in that load report'),
  numberField('latency_ms', 'latency in that load report', FieldUnit.Milliseconds),
];

const fieldsByQuestion: Readonly<
  Record<Exclude<Question['kind'], 'load'>, readonly FieldDefinition[]>
> = {
  budgets: [
    serverField,
    serviceField,
    textField('budget', 'probe, retry or key-records'),
    numberField('spent', 'used so far, in the unit of the budget'),
    numberField('allowed', 'what may be used, in the unit of the budget'),
    numberField('used_share', 'spent / allowed', FieldUnit.Share),
    textField('unit', 'unit of spent and allowed'),
  ],
  change: [
    textField('change', 'change identifier'),
    textField('state', 'in-force, pending, conflict, rejected, not-found or unresolved'),
    numberField('revision', 'revision that the change produced or lost against'),
  ],
  configuration: [
    textField('object', 'service, server or zone'),
    textField('name', 'name of the object'),
    textField('declaration', 'its declaration in the language'),
  ],
  homes: [
    serviceField,
    serverField,
    zoneField,
    numberField('ranges', 'key ranges of which the server is the home, out of 16 of the service'),
    numberField('accepting', 'of them those that accept new keys now'),
    textField('witnesses', 'servers that confirm the lease, a majority of which has to answer'),
    textField('silent_witnesses', 'of them those without a valid promise to this home'),
    numberField('version', 'version of the home table that the server goes by'),
  ],
  key: [
    serviceField,
    textField('key', 'the idempotency key'),
    textField('home', 'server that answered for the key'),
    textField('state', 'running, ran, not-run, unknown or no-answer'),
    numberField('status', 'HTTP status of the recorded answer'),
  ],
  members: [
    serverField,
    zoneField,
    textField('region', 'region of the server'),
    serviceField,
    textField('state', 'serving, warming, draining, suspect, dead or left'),
    numberField('slots', 'requests that the upstream runs at once'),
    booleanField(
      'reachable',
      'whether its zone and region can be reached from the node that was asked',
    ),
    booleanField('drained', 'whether an operator drains the server or its zone'),
    textField('address', 'peer address'),
    numberField('incarnation', 'start time of the process in Unix milliseconds'),
  ],
  platform: [
    serverField,
    zoneField,
    booleanField('reachable', "whether the last call to the platform's service was answered"),
    numberField('calls', 'calls since the start of the node'),
    numberField('failed_calls', 'calls without an answer since the start of the node'),
    numberField('last_answer_s', 'time since the last answer', FieldUnit.Seconds),
    numberField('latency_ms', 'smoothed latency of a call', FieldUnit.Milliseconds),
    booleanField('watching', 'whether the node watches the configuration root'),
  ],
  refusals: [
    serviceField,
    outcomeField,
    reasonField,
    numberField('count', 'requests that ended this way in the time asked for'),
    textField('last_at', 'time of the last one in UTC, to 10 seconds'),
  ],
  request: [
    timeField,
    requestField,
    textField('entry', 'node that recorded the step: the entry, or the home of the key'),
    textField('step', 'received, sent, refused, answered, failed, cancelled or concluded'),
    numberField(
      'after_ms',
      'time since the node that recorded the step learned of the request',
      FieldUnit.Milliseconds,
    ),
    textField('server', 'server that the step is about'),
    reasonField,
    textField('detail', 'class, receiver, retry reason, status or outcome, depending on the step'),
    ...stepLoadFields,
  ],
  requests: [
    requestField,
    timeField,
    textField('entry', 'node that received the request'),
    serviceField,
    tenantField,
    textField('class', 'idempotent or non-idempotent'),
    outcomeField,
    reasonField,
    numberField('status', 'HTTP status of the upstream'),
    numberField('attempts', 'attempts that were sent'),
    numberField('latency_ms', 'time from receipt to outcome', FieldUnit.Milliseconds),
  ],
  revision: [
    serverField,
    zoneField,
    numberField('revision', 'revision in force on the node'),
    booleanField('in_force', 'whether that is at least the revision of the node that was asked'),
  ],
  services: [
    serviceField,
    booleanField('declared', 'whether an operator declared the service'),
    numberField('servers', 'members that announced the service and are not dead or gone'),
    numberField('serving', 'of them serving'),
    numberField('warming', 'of them warming up'),
    numberField('draining', 'of them draining, or drained by an operator'),
    numberField('suspect', 'of them suspected to be dead'),
    numberField('slots', 'sum of the slots of serving and warming members'),
    numberField('request_kinds', 'declared request kinds'),
  ],
  tenants: [
    serviceField,
    tenantField,
    numberField('weight', 'share relative to other tenants; 1 when none is declared'),
    booleanField('declared', 'whether a weight is declared'),
    ...usageFields,
  ],
};

/** The fields of the rows that answer a question, in display order. */
export function fieldsOf(question: Question): readonly FieldDefinition[] {
  if (question.kind !== 'load') return fieldsByQuestion[question.kind];
  switch (question.by) {
    case 'service':
      return [serviceField, ...loadFields];
    case 'zone':
      return [zoneField, ...loadFields];
    case 'server':
      return [
        serverField,
        zoneField,
        serviceField,
        textField('state', 'state of the gate'),
        ...loadFields,
      ];
    case 'tenant':
      return [tenantField, ...usageFields];
  }
}
