import type {
  ClockReading,
  Configuration,
  CoreMessage,
  ServiceHomeStatus,
  KeyStateCommand,
  LoadReport,
  NodeCore,
  NodeIdentity,
} from '@peridotspring/core';
import type {
  BudgetUsage,
  KeyView,
  MemberView,
  NodeView,
  PlatformStatus,
  Readiness,
  TenantUsage,
} from '@peridotspring/operators';
import type { PlatformStore } from '@peridotspring/platform';

export interface CoreNodeViewOptions {
  readonly identity: NodeIdentity;
  readonly core: NodeCore;
  readonly store: PlatformStore;
  readonly clock: () => ClockReading;
  readonly deliver: (message: CoreMessage) => void;
  readonly keyRecordLimits: { readonly records: number; readonly bytes: number };
}

/**
 * Provides the state of this node for questions from operators, read from the core and the
 * platform client.
 */
export class CoreNodeView implements NodeView {
  private readonly pendingKeyLookups = new Map<number, (command: KeyStateCommand) => void>();
  private nextQuestionId = 1;

  public constructor(private readonly options: CoreNodeViewOptions) {}

  public get identity(): NodeIdentity {
    return this.options.identity;
  }

  public configuration(): Configuration {
    return this.options.core.subsystems.configuration.inForce;
  }

  public members(): readonly MemberView[] {
    const { core } = this.options;
    return core.subsystems.membership
      .members()
      .map((member) => ({ ...member, reachable: core.isReachable(member.server) }));
  }

  public load(): LoadReport | undefined {
    return this.options.core.subsystems.gate.loadReport(this.options.clock());
  }

  public homes(): readonly ServiceHomeStatus[] {
    return this.options.core.subsystems.homes.statuses(this.options.clock());
  }

  public tenantUsage(): readonly TenantUsage[] {
    const service = this.load()?.service;
    if (service === undefined) {
      return [];
    }
    return this.options.core.subsystems.gate.tenantUsage().map(({ running, tenant, waiting }) => ({
      inFlight: running,
      queued: waiting,
      service,
      tenant,
    }));
  }

  public budgets(): readonly BudgetUsage[] {
    const { clock, core, keyRecordLimits } = this.options;
    const keyRecordUsage = core.subsystems.homes.recordUsage;
    const pollBudgetUse = core.pollBudget(clock());
    const retryBudgetUses = core.subsystems.engine.retryBudgets();
    return [
      {
        allowed: pollBudgetUse.allowedSlotMilliseconds,
        budget: 'probe',
        service: this.load()?.service ?? '',
        spent: pollBudgetUse.spentSlotMilliseconds,
        unit: 'slot-ms',
      },
      ...retryBudgetUses.map(({ earned, service, spent }) => ({
        allowed: earned,
        budget: 'retry',
        service,
        spent,
        unit: 'tokens',
      })),
      ...(['records', 'bytes'] as const).map((unit) => ({
        allowed: keyRecordLimits[unit],
        budget: 'key-records',
        service: '',
        spent: keyRecordUsage[unit],
        unit,
      })),
    ];
  }

  public platformStatus(): PlatformStatus {
    const { core, store } = this.options;
    const { reads, unanswered, watches, writes } = store.counters;
    return {
      calls: reads + writes + watches,
      failedCalls: unanswered,
      lastAnswerAt: store.lastResponseAt,
      latencyMilliseconds: store.latencyMilliseconds,
      isReachable: store.isResponding,
      isWatching: core.subsystems.membership.isBridge,
    };
  }

  public readiness(): Readiness {
    const causes: string[] = [];
    const load = this.load();
    if (this.configuration().revision === 0) {
      causes.push('no configuration yet');
    }
    if (this.options.core.isStopping) {
      causes.push('stopping');
    } else if (load?.state === 'draining') {
      causes.push('draining');
    }
    return { causes, ready: causes.length === 0 };
  }

  public findKey(service: string, key: string): Promise<KeyView | undefined> {
    const questionId = this.nextQuestionId;
    this.nextQuestionId += 1;
    return new Promise((resolve) => {
      this.pendingKeyLookups.set(questionId, ({ home, state, status }) => {
        resolve(home === undefined || state === undefined ? undefined : { home, state, status });
      });
      this.options.deliver({ key, kind: 'ask-key', questionId, service });
    });
  }

  /** Handles the answer to a question about a key. */
  public onKeyKnown(command: KeyStateCommand): void {
    this.pendingKeyLookups.get(command.questionId)?.(command);
    this.pendingKeyLookups.delete(command.questionId);
  }
}
