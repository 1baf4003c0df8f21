import {
  serviceDefaults,
  type Configuration,
  type ServiceConfiguration,
} from '@peridotspring/core';
import type { Command, LanguageError, Name, ServiceClause } from '@peridotspring/language/text';

import { applyClause } from './apply-clauses.js';
import { checkName, nameForms, referenceFault } from './checks.js';
import { findService } from './find-service.js';
import { differenceOf, type ConfigurationDifference } from './difference.js';

/**
 * The configuration after the commands. Its revision is still that of the base: the number of the new
 * revision is decided where the change is committed.
 */
export type ApplyResult =
  | {
      readonly kind: 'applied';
      readonly configuration: Configuration;
      readonly difference: readonly ConfigurationDifference[];
    }
  | { readonly kind: 'invalid'; readonly faults: readonly LanguageError[] };

interface Step {
  readonly configuration: Configuration;
  readonly faults: readonly LanguageError[];
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
): Step {
  const faults: LanguageError[] = [];
  let service = start;
  for (const clause of clauses) {
    const applied = applyClause(service, clause);
    service = applied.service;
    faults.push(...applied.faults);
  }
  const { defaultDeadlineMilliseconds, maximumDeadlineMilliseconds } = service;
  if (defaultDeadlineMilliseconds > maximumDeadlineMilliseconds) {
    const found = `deadline default ${defaultDeadlineMilliseconds} ms of service \`${name.text}\``;
    const limit = `at most its deadline maximum of ${maximumDeadlineMilliseconds} ms`;
    faults.push(referenceFault(name, found, limit));
  }
  return { configuration: withService(configuration, service), faults };
}

function unknownService(name: Name): LanguageError {
  return referenceFault(name, `service \`${name.text}\``, 'a declared service');
}

function removeService(configuration: Configuration, name: Name): Step {
  if (findService(configuration, name.text) === undefined) {
    return { configuration, faults: [unknownService(name)] };
  }
  const services = Object.fromEntries(
    Object.entries(configuration.services).filter(([service]) => service !== name.text),
  );
  return { configuration: { ...configuration, services }, faults: [] };
}

function withName(names: readonly string[], name: string): readonly string[] {
  return names.includes(name) ? names : [...names, name].sort();
}

function withoutName(names: readonly string[], name: string): readonly string[] {
  return names.filter((other) => other !== name);
}

function applyDrain(
  configuration: Configuration,
  name: Name,
  field: 'drainedAvailabilityZones' | 'drainedServers',
  isDrained: boolean,
): Step {
  const change = isDrained ? withName : withoutName;
  return {
    configuration: { ...configuration, [field]: change(configuration[field], name.text) },
    faults: checkName(name, nameForms.server),
  };
}

function applyCommand(configuration: Configuration, command: Command): Step {
  switch (command.kind) {
    case 'declare-service': {
      const { clauses, service } = command;
      const nameFaults = checkName(service, nameForms.service);
      if (nameFaults.length > 0) return { configuration, faults: nameFaults };
      // A declaration says everything of a service: what it leaves out gets its default.
      const start = { ...serviceDefaults, name: service.text };
      return applyClauses(configuration, start, service, clauses);
    }
    case 'change-service': {
      const { clauses, service } = command;
      const start = findService(configuration, service.text);
      if (start === undefined) return { configuration, faults: [unknownService(service)] };
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

/** Applies commands in order, as one change. Faults of all commands are reported together. */
export function applyCommands(base: Configuration, commands: readonly Command[]): ApplyResult {
  const faults: LanguageError[] = [];
  let configuration = base;
  for (const command of commands) {
    const step = applyCommand(configuration, command);
    configuration = step.configuration;
    faults.push(...step.faults);
  }
  if (faults.length > 0) return { faults, kind: 'invalid' };
  return { configuration, difference: differenceOf(base, configuration), kind: 'applied' };
}
