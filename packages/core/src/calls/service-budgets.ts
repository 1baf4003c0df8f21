import { serviceDefaults } from '../messages/service-configuration.js';
import type { ServiceConfiguration } from '../messages/service-configuration.js';
import type { RetryBudgetUse } from './call-contract.js';
import { RetryBudget } from './retry-budget.js';

/** What a service allows beyond first attempts. */
export interface ServiceBudget {
  readonly budget: RetryBudget;
  readonly hedging: boolean;
}

/** The retry and hedge budget of each service. */
export class ServiceBudgets {
  private readonly services = new Map<string, ServiceBudget>();

  public configure(configuration: ServiceConfiguration): void {
    const { hedging, name, retryBudgetMaximum, retryBudgetRatio } = configuration;
    const { budget } = this.of(name);
    budget.configure(retryBudgetRatio, retryBudgetMaximum);
    this.services.set(name, { budget, hedging });
  }

  public uses(): readonly RetryBudgetUse[] {
    return [...this.services].map(([service, { budget }]) => ({
      earned: budget.earned,
      service,
      spent: budget.spent,
    }));
  }

  /** A service that was not configured has the default budget. */
  public of(name: string): ServiceBudget {
    const known = this.services.get(name);
    if (known !== undefined) return known;
    const { hedging, retryBudgetMaximum, retryBudgetRatio } = serviceDefaults;
    const created = { budget: new RetryBudget(retryBudgetRatio, retryBudgetMaximum), hedging };
    this.services.set(name, created);
    return created;
  }
}
