import type { Configuration, ServiceConfiguration } from '../messages/service-configuration.js';
import { configurationLimits } from './configuration-limits.js';
import {
  checkBoolean,
  checkList,
  checkNumber,
  checkPattern,
  checkUnique,
  isPlainObject,
  type ConfigurationFault,
} from './field-checks.js';

const namePattern = /^[a-z0-9][a-z0-9-]{0,62}$/;
const nameExpectation = '1 to 63 lower-case letters, digits or hyphens, not starting with a hyphen';
// eslint-disable-next-line no-control-regex -- control characters must not reach logs and headers
const displayNamePattern = /^[^\u0000-\u001f\u007f]{1,128}$/;
const displayNameExpectation = '1 to 128 characters without control characters';

/** Inclusive ranges of the numeric fields of a service; `integer` excludes fractions. */
const numericFields = {
  defaultDeadlineMilliseconds: { minimum: 1, maximum: 60_000, integer: true },
  maximumDeadlineMilliseconds: { minimum: 1, maximum: 60_000, integer: true },
  probeBudgetShare: { minimum: 0, maximum: 0.1, integer: false },
  rampMilliseconds: { minimum: 0, maximum: 600_000, integer: true },
  retryBudgetMaximum: { minimum: 0, maximum: 1_000, integer: false },
  retryBudgetRatio: { minimum: 0, maximum: 1, integer: false },
} as const;

/** Inclusive ranges of the optional numeric fields of a service. */
const optionalFields = {
  maximumBodyBytes: { minimum: 0, maximum: 1_073_741_824, integer: true },
  maximumTenantInFlight: { minimum: 1, maximum: 10_000, integer: true },
  // Queued requests keep their bodies in the server's memory.
  queueLength: { minimum: 0, maximum: 1_000, integer: true },
} as const;

/** Validates a whole configuration and returns every fault; an empty list means that it is valid. */
export function validateConfiguration(configuration: unknown): readonly ConfigurationFault[] {
  if (!isPlainObject(configuration) || !isPlainObject(configuration.services)) {
    return [{ field: 'services', expected: 'an object of services', found: 'none' }];
  }
  const faults: ConfigurationFault[] = [];
  const names = Object.keys(configuration.services);
  if (names.length > configurationLimits.services) {
    const expected = `at most ${configurationLimits.services} services`;
    faults.push({ field: 'services', expected, found: String(names.length) });
  }
  for (const [name, service] of Object.entries(configuration.services)) {
    faults.push(...validateService(service, `services.${name}`, name));
  }
  const { drainedServers, drainedAvailabilityZones } = configurationLimits;
  faults.push(
    ...validateNames(configuration.drainedServers, 'drainedServers', drainedServers),
    ...validateNames(
      configuration.drainedAvailabilityZones,
      'drainedAvailabilityZones',
      drainedAvailabilityZones,
    ),
    ...checkLength(configuration, 'configuration', configurationLimits.totalCharacters),
  );
  return faults;
}

/** Validates a service; `field` prefixes the names of faulty fields, `name` is the expected name. */
export function validateService(
  service: unknown,
  field: string,
  name: string,
): readonly ConfigurationFault[] {
  if (!isPlainObject(service)) return [{ field, expected: 'a service', found: typeof service }];
  const faults = [
    ...checkPattern(service.name, `${field}.name`, namePattern, nameExpectation),
    ...checkBoolean(service.hedging, `${field}.hedging`),
    ...validateRequestKinds(service.requestKinds, `${field}.requestKinds`),
    ...validateTenants(service.tenants, `${field}.tenants`),
    ...checkLength(service, field, configurationLimits.serviceCharacters),
  ];
  if (service.name !== name) {
    faults.push({ field: `${field}.name`, expected: name, found: String(service.name) });
  }
  for (const [key, range] of Object.entries(numericFields)) {
    faults.push(...checkNumber(service[key], `${field}.${key}`, range));
  }
  for (const [key, range] of Object.entries(optionalFields)) {
    if (service[key] === undefined) continue;
    faults.push(...checkNumber(service[key], `${field}.${key}`, range));
  }
  const {
    defaultDeadlineMilliseconds: defaultDeadline,
    maximumDeadlineMilliseconds: maximumDeadline,
  } = service;
  if (
    typeof defaultDeadline === 'number' &&
    typeof maximumDeadline === 'number' &&
    defaultDeadline > maximumDeadline
  ) {
    const expected = `at most maximumDeadlineMilliseconds (${maximumDeadline})`;
    faults.push({
      field: `${field}.defaultDeadlineMilliseconds`,
      expected,
      found: `${defaultDeadline}`,
    });
  }
  return faults;
}

/** Returns the service if it is valid, otherwise undefined. */
export function parseService(service: unknown, name: string): ServiceConfiguration | undefined {
  const faults = validateService(service, name, name);
  return faults.length === 0 ? (service as ServiceConfiguration) : undefined;
}

/** Describes a fault in one line for an operator: the field, what is accepted and what was found. */
export function describeConfigurationFault(fault: ConfigurationFault): string {
  return `${fault.field}: expected ${fault.expected}, found ${fault.found}`;
}

/** Whether the value is a valid configuration. */
export function isConfiguration(value: unknown): value is Configuration {
  return validateConfiguration(value).length === 0;
}

function validateRequestKinds(kinds: unknown, field: string): readonly ConfigurationFault[] {
  const faults = checkList(kinds, field, configurationLimits.requestKinds, (kind, at) => [
    ...checkPattern(kind.name, `${at}.name`, namePattern, nameExpectation),
    ...checkPattern(kind.method, `${at}.method`, /^(\*|[A-Z]{1,16})$/, '* or an HTTP method'),
    ...checkPattern(
      kind.pathPrefix,
      `${at}.pathPrefix`,
      /^\/[\x21-\x7e]{0,255}$/,
      'a path that starts with / and has at most 256 printable characters',
    ),
    ...checkPattern(
      kind.requestClass,
      `${at}.requestClass`,
      /^(idempotent|non-idempotent)$/,
      'idempotent or non-idempotent',
    ),
  ]);
  return [...faults, ...checkUnique(kinds, field, 'name')];
}

function validateTenants(tenants: unknown, field: string): readonly ConfigurationFault[] {
  const weights = { minimum: 0.01, maximum: 1_000, integer: false };
  const faults = checkList(tenants, field, configurationLimits.tenants, (tenant, at) => [
    ...checkPattern(tenant.tenant, `${at}.tenant`, displayNamePattern, displayNameExpectation),
    ...checkNumber(tenant.weight, `${at}.weight`, weights),
  ]);
  return [...faults, ...checkUnique(tenants, field, 'tenant')];
}

function validateNames(
  labels: unknown,
  field: string,
  maximum: number,
): readonly ConfigurationFault[] {
  if (!Array.isArray(labels) || labels.length > maximum) {
    const found = Array.isArray(labels) ? `${labels.length} names` : typeof labels;
    return [{ field, expected: `a list of at most ${maximum} names`, found }];
  }
  const faults = labels.flatMap((label: unknown, index) =>
    checkPattern(label, `${field}[${index}]`, displayNamePattern, displayNameExpectation),
  );
  if (new Set(labels).size < labels.length) {
    faults.push({ field, expected: 'each name once', found: 'a repeated name' });
  }
  return faults;
}

function checkLength(value: unknown, field: string, maximum: number): ConfigurationFault[] {
  const { length } = JSON.stringify(value);
  if (length <= maximum) return [];
  return [{ field, expected: `at most ${maximum} characters as JSON`, found: String(length) }];
}
