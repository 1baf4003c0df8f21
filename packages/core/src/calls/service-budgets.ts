import { serviceDefaults } from '../messages/service-configuration.js';
import type { ServiceConfiguration } from '../messages/service-configuration.js';
import type { RetryBudgetUse } from './call-contract.js';
import { RetryBudget } from './retry-budget.js';

/** What a service permits besides first attempts. */
export interface ServiceBudget {
  readonly budget: RetryBudget;
  readonly hedging: boolean;
}

/** The budget of each service for retries and hedges. */
export class ServiceBudgets {
  private readonly services = new Map<string, ServiceBudget>();

  public configure(configuration: ServiceConfiguration): void {
    const { hedging, name, retryBudgetMaximum, retryBudgetRatio } = configuration;
    const { budget } = this.getOrCreate(name);
    budget.configure(retryBudgetRatio, retryBudgetMaximum);
    this.services.set(name, { budget, hedging });
  }

  public usage(): readonly RetryBudgetUse[] {
    return [...this.services].map(([service, { budget }]) => ({
      earned: budget.earned,
      service,
      spent: budget.spent,
    }));
  }

  /** Returns the budget of a service. Creates one with the defaults for a service not yet configured. */
  public getOrCreate(name: string): ServiceBudget {
    const known = this.services.get(name);
    if (known !== undefined) return known;
    const { hedging, retryBudgetMaximum, retryBudgetRatio } = serviceDefaults;
    const created = { budget: new RetryBudget(retryBudgetRatio, retryBudgetMaximum), hedging };
    this.services.set(name, created);
    return created;
  }
}
