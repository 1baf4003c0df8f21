import type { Configuration, LoadReport, MemberState } from '@peridotspring/core';
import { printService, type Question } from '@peridotspring/language/text';

import type { MemberView, NodeView } from '../node-view.js';
import { requestRow, stepRows } from '../observation/journal-rows.js';
import type { RefusalHistory } from '../observation/refusal-history.js';
import { isRecordedByEntry, type RequestJournal } from '../observation/request-journal.js';
import { isDrained, liveMembers } from './member-status.js';
import type { Row } from './rows.js';

/** Period that `show refusals` covers without `since`. */
export const defaultRefusalsMilliseconds = 600_000;

/** The sources of a node's own rows. */
export interface LocalSources {
  readonly view: NodeView;
  readonly journal: RequestJournal;
  readonly refusals: RefusalHistory;
  /** Wall-clock time in Unix milliseconds. */
  readonly now: () => number;
}

function configurationRows(configuration: Configuration): readonly Row[] {
  const drained = (object: string, names: readonly string[]): readonly Row[] =>
    names.map((name) => ({ declaration: `drain ${object} ${name}`, name, object }));
  return [
    ...Object.values(configuration.services).map((service) => ({
      declaration: printService(service),
      name: service.name,
      object: 'service',
    })),
    ...drained('server', configuration.drainedServers),
    ...drained('zone', configuration.drainedAvailabilityZones),
  ];
}

function memberRows(view: NodeView): readonly Row[] {
  const configuration = view.configuration();
  return view.members().map((member) => ({
    address: member.peerAddress,
    drained: isDrained(configuration, member),
    incarnation: member.incarnation,
    reachable: member.reachable,
    region: member.region,
    server: member.server,
    service: member.service ?? null,
    slots: member.slots,
    state: member.state,
    zone: member.availabilityZone,
  }));
}

function serviceRow(
  configuration: Configuration,
  name: string,
  allMembers: readonly MemberView[],
): Row {
  const members = liveMembers(allMembers);
  const isLeaving = (member: MemberView): boolean =>
    member.state === 'draining' || isDrained(configuration, member);
  const remaining = members.filter((member) => !isLeaving(member));
  const count = (state: MemberState): number =>
    remaining.filter((member) => member.state === state).length;
  const accepting = remaining.filter(({ state }) => state === 'serving' || state === 'warming');
  const isDeclared = Object.hasOwn(configuration.services, name);
  return {
    declared: isDeclared,
    draining: members.length - remaining.length,
    request_kinds: isDeclared ? (configuration.services[name]?.requestKinds.length ?? 0) : 0,
    servers: members.length,
    service: name,
    serving: count('serving'),
    slots: accepting.reduce((total, { slots }) => total + slots, 0),
    suspect: count('suspect'),
    warming: count('warming'),
  };
}

function serviceRows(view: NodeView): readonly Row[] {
  const configuration = view.configuration();
  const membersByService = new Map<string, MemberView[]>(
    Object.keys(configuration.services).map((name) => [name, []]),
  );
  for (const member of view.members()) {
    if (member.service === undefined) continue;
    const members = membersByService.get(member.service) ?? [];
    members.push(member);
    membersByService.set(member.service, members);
  }
  return [...membersByService]
    .sort(([left], [right]) => (left < right ? -1 : 1))
    .map(([name, members]) => serviceRow(configuration, name, members));
}

function loadRows(view: NodeView, load: LoadReport | undefined): readonly Row[] {
  if (load === undefined) return [];
  const { availabilityZone, server } = view.identity;
  return [
    {
      in_flight: load.inFlight,
      latency_ms: load.latencyMilliseconds,
      limit: load.limit,
      queued: load.queued,
      server,
      service: load.service,
      state: load.state,
      zone: availabilityZone,
    },
  ];
}

function tenantUsageRows(view: NodeView): readonly Row[] {
  return view.tenantUsage().map(({ inFlight, queued, service, tenant }) => ({
    in_flight: inFlight,
    queued,
    service,
    tenant,
  }));
}

function budgetRows(view: NodeView): readonly Row[] {
  return view.budgets().map(({ allowed, budget, service, spent, unit }) => ({
    allowed,
    budget,
    server: view.identity.server,
    service,
    spent,
    unit,
    used_share: allowed === 0 ? null : Number((spent / allowed).toFixed(4)),
  }));
}

function platformRows({ now, view }: LocalSources): readonly Row[] {
  const {
    calls,
    failedCalls,
    lastAnswerAt,
    latencyMilliseconds,
    isReachable: reachable,
    isWatching: watching,
  } = view.platformStatus();
  return [
    {
      calls,
      failed_calls: failedCalls,
      last_answer_s: lastAnswerAt === undefined ? null : Math.max(0, now() - lastAnswerAt) / 1_000,
      latency_ms: latencyMilliseconds,
      reachable,
      server: view.identity.server,
      watching,
      zone: view.identity.availabilityZone,
    },
  ];
}

function homeRows(view: NodeView): readonly Row[] {
  return view
    .homes()
    .map(({ accepting, ranges, service, silentWitnesses, version, witnesses }) => ({
      accepting,
      ranges,
      server: view.identity.server,
      service,
      silent_witnesses: silentWitnesses.join(' '),
      version,
      witnesses: witnesses.join(' '),
      zone: view.identity.availabilityZone,
    }));
}

async function keyRows(view: NodeView, service: string, key: string): Promise<readonly Row[]> {
  const answer = await view.findKey(service, key);
  return [
    {
      home: answer?.home ?? null,
      key,
      service,
      state: answer?.state ?? 'no-answer',
      status: answer?.status ?? null,
    },
  ];
}

function requestRows({ journal, view }: LocalSources, requestId: string): readonly Row[] {
  const entry = journal.entry(requestId);
  return entry === undefined ? [] : stepRows(entry, view.identity.server);
}

/** This node's rows for a question. The rows for `show change` come from `ChangeRunner` instead. */
export async function localRows(
  sources: LocalSources,
  question: Question,
): Promise<readonly Row[]> {
  const { journal, now, refusals, view } = sources;
  const { availabilityZone, server } = view.identity;
  switch (question.kind) {
    case 'budgets':
      return budgetRows(view);
    case 'change':
      return [];
    case 'configuration':
      return configurationRows(view.configuration());
    case 'homes':
      return homeRows(view);
    case 'key':
      return keyRows(view, question.service, question.key);
    case 'load':
      return question.by === 'tenant' ? tenantUsageRows(view) : loadRows(view, view.load());
    case 'members':
      return memberRows(view);
    case 'platform':
      return platformRows(sources);
    case 'refusals':
      return refusals.rowsSince(question.sinceMilliseconds ?? defaultRefusalsMilliseconds, now());
    case 'request':
      return requestRows(sources, question.requestId);
    case 'requests':
      return journal
        .entries()
        .filter(isRecordedByEntry)
        .map((entry) => requestRow(entry, server));
    case 'revision':
      return [{ revision: view.configuration().revision, server, zone: availabilityZone }];
    case 'services':
      return serviceRows(view);
    case 'tenants':
      return tenantUsageRows(view);
  }
}
