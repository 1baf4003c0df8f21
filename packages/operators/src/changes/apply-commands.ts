import {
  serviceDefaults,
  type Configuration,
  type ServiceConfiguration,
} from '@peridotspring/core';
import type { Command, LanguageError, Name, ServiceClause } from '@peridotspring/language/text';

import { applyClause } from './apply-clauses.js';
import { checkName, namePatterns, createReferenceError } from './validation.js';
import { findService } from './find-service.js';
import { diffConfigurations, type ConfigurationDifference } from './difference.js';

/**
 * The result of applying commands. The configuration keeps the revision of the base, because the new
 * revision is assigned when the change is committed.
 */
export type ApplyResult =
  | {
      readonly kind: 'applied';
      readonly configuration: Configuration;
      readonly difference: readonly ConfigurationDifference[];
    }
  | { readonly kind: 'invalid'; readonly errors: readonly LanguageError[] };

interface CommandResult {
  readonly configuration: Configuration;
  readonly errors: readonly LanguageError[];
}

function withService(configuration: Configuration, service: ServiceConfiguration): Configuration {
  return {
    ...configuration,
    services: { ...configuration.services, [service.name]: service },
  };
}

function applyClauses(
  configuration: Configuration,
  start: ServiceConfiguration,
  name: Name,
  clauses: readonly ServiceClause[],
): CommandResult {
  const errors: LanguageError[] = [];
  let service = start;
  for (const clause of clauses) {
    const applied = applyClause(service, clause);
    service = applied.service;
    errors.push(...applied.errors);
  }
  const { defaultDeadlineMilliseconds, maximumDeadlineMilliseconds } = service;
  if (defaultDeadlineMilliseconds > maximumDeadlineMilliseconds) {
    const found = `deadline default ${defaultDeadlineMilliseconds} ms of service \`${name.text}\``;
    const limit = `at most its deadline maximum of ${maximumDeadlineMilliseconds} ms`;
    errors.push(createReferenceError(name, found, limit));
  }
  return { configuration: withService(configuration, service), errors };
}

function createUnknownServiceError(name: Name): LanguageError {
  return createReferenceError(name, `service \`${name.text}\``, 'a declared service');
}

function removeService(configuration: Configuration, name: Name): CommandResult {
  if (findService(configuration, name.text) === undefined) {
    return { configuration, errors: [createUnknownServiceError(name)] };
  }
  const services = Object.fromEntries(
    Object.entries(configuration.services).filter(([service]) => service !== name.text),
  );
  return { configuration: { ...configuration, services }, errors: [] };
}

function addName(names: readonly string[], name: string): readonly string[] {
  return names.includes(name) ? names : [...names, name].sort();
}

function removeName(names: readonly string[], name: string): readonly string[] {
  return names.filter((other) => other !== name);
}

function applyDrain(
  configuration: Configuration,
  name: Name,
  field: 'drainedAvailabilityZones' | 'drainedServers',
  isDrained: boolean,
): CommandResult {
  const change = isDrained ? addName : removeName;
  return {
    configuration: { ...configuration, [field]: change(configuration[field], name.text) },
    errors: checkName(name, namePatterns.server),
  };
}

function applyCommand(configuration: Configuration, command: Command): CommandResult {
  switch (command.kind) {
    case 'declare-service': {
      const { clauses, service } = command;
      const nameErrors = checkName(service, namePatterns.service);
      if (nameErrors.length > 0) return { configuration, errors: nameErrors };
      // A declaration replaces the whole service: what it omits gets its default.
      const start = { ...serviceDefaults, name: service.text };
      return applyClauses(configuration, start, service, clauses);
    }
    case 'change-service': {
      const { clauses, service } = command;
      const start = findService(configuration, service.text);
      if (start === undefined)
        return { configuration, errors: [createUnknownServiceError(service)] };
      return applyClauses(configuration, start, service, clauses);
    }
    case 'remove-service':
      return removeService(configuration, command.service);
    case 'drain-server':
      return applyDrain(configuration, command.server, 'drainedServers', true);
    case 'restore-server':
      return applyDrain(configuration, command.server, 'drainedServers', false);
    case 'drain-zone':
      return applyDrain(configuration, command.zone, 'drainedAvailabilityZones', true);
    case 'restore-zone':
      return applyDrain(configuration, command.zone, 'drainedAvailabilityZones', false);
  }
}

/** Applies commands in order, as one change. Errors in all commands are reported together. */
export function applyCommands(base: Configuration, commands: readonly Command[]): ApplyResult {
  const errors: LanguageError[] = [];
  let configuration = base;
  for (const command of commands) {
    const result = applyCommand(configuration, command);
    configuration = result.configuration;
    errors.push(...result.errors);
  }
  if (errors.length > 0) return { errors, kind: 'invalid' };
  return { configuration, difference: diffConfigurations(base, configuration), kind: 'applied' };
}
