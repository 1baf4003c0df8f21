import type { RequestKind, ServiceConfiguration } from '@peridotspring/core';
import type { LanguageError, Name, Quantity, ServiceClause } from '@peridotspring/language/text';

import {
  checkName,
  checkRange,
  maximumRequestKinds,
  maximumTenants,
  namePatterns,
  ranges,
  createReferenceError,
  type NumberRange,
} from './validation.js';

type Clause<Kind extends ServiceClause['kind']> = Extract<ServiceClause, { kind: Kind }>;

/** A service after a clause was applied, and the errors in the clause. */
export interface AppliedService {
  readonly service: ServiceConfiguration;
  readonly errors: readonly LanguageError[];
}

function insertRequestKind(
  kinds: readonly RequestKind[],
  kind: RequestKind,
  before: Name | undefined,
): readonly RequestKind[] {
  const others = kinds.filter(({ name }) => name !== kind.name);
  if (before !== undefined) {
    const index = others.findIndex(({ name }) => name === before.text);
    return [...others.slice(0, index), kind, ...others.slice(index)];
  }
  const index = kinds.findIndex(({ name }) => name === kind.name);
  return index < 0 ? [...kinds, kind] : kinds.map((old) => (old.name === kind.name ? kind : old));
}

function applyRequest(service: ServiceConfiguration, clause: Clause<'request'>): AppliedService {
  const errors = [
    ...checkName(clause.name, namePatterns.requestName),
    ...checkName(clause.method, namePatterns.method),
    ...checkName(clause.pathPrefix, namePatterns.pathPrefix),
  ];
  const { before, name } = clause;
  const isOtherRequestKind = (wanted: string): boolean =>
    wanted !== name.text && service.requestKinds.some((kind) => kind.name === wanted);
  if (before !== undefined && !isOtherRequestKind(before.text)) {
    errors.push(
      createReferenceError(before, `request \`${before.text}\``, 'another request above it'),
    );
    return { errors, service };
  }
  const kind: RequestKind = {
    method: clause.method.text,
    name: name.text,
    pathPrefix: clause.pathPrefix.text,
    requestClass: clause.requestClass,
  };
  const requestKinds = insertRequestKind(service.requestKinds, kind, before);
  if (requestKinds.length > maximumRequestKinds) {
    const limit = `at most ${maximumRequestKinds} requests`;
    errors.push(createReferenceError(name, `${requestKinds.length} requests`, limit));
  }
  return { errors, service: { ...service, requestKinds } };
}

function applyTenant(service: ServiceConfiguration, clause: Clause<'tenant'>): AppliedService {
  const errors = [
    ...checkName(clause.tenant, namePatterns.tenant),
    ...checkRange(clause.weight, ranges.weight),
  ];
  const tenant = clause.tenant.text;
  const tenants = [
    ...service.tenants.filter((share) => share.tenant !== tenant),
    { tenant, weight: clause.weight.value },
  ];
  if (tenants.length > maximumTenants) {
    const limit = `at most ${maximumTenants} tenants`;
    errors.push(createReferenceError(clause.tenant, `${tenants.length} tenants`, limit));
  }
  return { errors, service: { ...service, tenants } };
}

function removeRequest(
  service: ServiceConfiguration,
  { name }: Clause<'remove-request'>,
): AppliedService {
  const requestKinds = service.requestKinds.filter((kind) => kind.name !== name.text);
  const isMissing = requestKinds.length === service.requestKinds.length;
  const found = `request \`${name.text}\``;
  const errors = isMissing ? [createReferenceError(name, found, 'a request of the service')] : [];
  return { errors, service: { ...service, requestKinds } };
}

function removeTenant(
  service: ServiceConfiguration,
  { tenant }: Clause<'remove-tenant'>,
): AppliedService {
  const tenants = service.tenants.filter((share) => share.tenant !== tenant.text);
  const isMissing = tenants.length === service.tenants.length;
  const found = `tenant \`${tenant.text}\``;
  const errors = isMissing ? [createReferenceError(tenant, found, 'a tenant with a weight')] : [];
  return { errors, service: { ...service, tenants } };
}

type NumberField = {
  [Field in keyof ServiceConfiguration]-?: ServiceConfiguration[Field] extends number
    ? Field
    : never;
}[keyof ServiceConfiguration];

function setNumber(
  service: ServiceConfiguration,
  field: NumberField,
  quantity: Quantity,
  range: NumberRange,
): AppliedService {
  return { errors: checkRange(quantity, range), service: { ...service, [field]: quantity.value } };
}

type BoundField = 'maximumBodyBytes' | 'maximumTenantInFlight' | 'queueLength';

/** Sets a limit, or removes it by deleting the field if there is no quantity. */
function setBound(
  service: ServiceConfiguration,
  field: BoundField,
  quantity: Quantity | undefined,
  range: NumberRange,
): AppliedService {
  if (quantity !== undefined) {
    return {
      errors: checkRange(quantity, range),
      service: { ...service, [field]: quantity.value },
    };
  }
  const unbounded = { ...service };
  Reflect.deleteProperty(unbounded, field);
  return { errors: [], service: unbounded };
}

/** Applies one clause to a service. */
export function applyClause(service: ServiceConfiguration, clause: ServiceClause): AppliedService {
  const set = (field: NumberField, quantity: Quantity, range: NumberRange): AppliedService =>
    setNumber(service, field, quantity, range);
  switch (clause.kind) {
    case 'request':
      return applyRequest(service, clause);
    case 'tenant':
      return applyTenant(service, clause);
    case 'remove-request':
      return removeRequest(service, clause);
    case 'remove-tenant':
      return removeTenant(service, clause);
    case 'hedging':
      return { errors: [], service: { ...service, hedging: clause.enabled } };
    case 'default-deadline':
      return set('defaultDeadlineMilliseconds', clause.milliseconds, ranges.defaultDeadline);
    case 'maximum-deadline':
      return set('maximumDeadlineMilliseconds', clause.milliseconds, ranges.maximumDeadline);
    case 'retry-budget-ratio':
      return set('retryBudgetRatio', clause.ratio, ranges.retryBudgetRatio);
    case 'retry-budget-maximum':
      return set('retryBudgetMaximum', clause.maximum, ranges.retryBudgetMaximum);
    case 'probe-budget':
      return set('probeBudgetShare', clause.share, ranges.probeBudget);
    case 'ramp':
      return set('rampMilliseconds', clause.milliseconds, ranges.ramp);
    case 'body-maximum':
      return setBound(service, 'maximumBodyBytes', clause.maximum, ranges.body);
    case 'queue-maximum':
      return setBound(service, 'queueLength', clause.maximum, ranges.queue);
    case 'tenant-in-flight-maximum':
      return setBound(service, 'maximumTenantInFlight', clause.maximum, ranges.tenantInFlight);
  }
}
