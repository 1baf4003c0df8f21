import type {
  ClockReading,
  Configuration,
  CoreMessage,
  HeldHome,
  KeyKnownCommand,
  LoadReport,
  NodeCore,
  NodeIdentity,
} from '@peridotspring/core';
import type {
  BudgetUse,
  KeyView,
  MemberView,
  NodeView,
  PlatformUse,
  Readiness,
  TenantUse,
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

/** The state of this node for operators' questions, read from the core and the adapters. */
export class CoreNodeView implements NodeView {
  private readonly questions = new Map<number, (known: KeyKnownCommand) => void>();
  private nextQuestionId = 1;

  public constructor(private readonly options: CoreNodeViewOptions) {}

  public get identity(): NodeIdentity {
    return this.options.identity;
  }

  public configuration(): Configuration {
    return this.options.core.parts.configuration.inForce;
  }

  public members(): readonly MemberView[] {
    const { core } = this.options;
    return core.parts.membership
      .members()
      .map((member) => ({ ...member, reachable: core.isReachable(member.server) }));
  }

  public load(): LoadReport | undefined {
    return this.options.core.parts.gate.load(this.options.clock());
  }

  public homes(): readonly HeldHome[] {
    return this.options.core.parts.homes.held(this.options.clock());
  }

  public tenantUse(): readonly TenantUse[] {
    const service = this.load()?.service;
    if (service === undefined) {
      return [];
    }
    return this.options.core.parts.gate.tenantUse().map(({ running, tenant, waiting }) => ({
      inFlight: running,
      queued: waiting,
      service,
      tenant,
    }));
  }

  public budgets(): readonly BudgetUse[] {
    const { clock, core, keyRecordLimits } = this.options;
    const held = core.parts.homes.recordUsage;
    const polls = core.pollBudget(clock());
    const retries = core.parts.engine.retryBudgets();
    return [
      {
        allowed: polls.allowedSlotMilliseconds,
        budget: 'probe',
        service: this.load()?.service ?? '',
        spent: polls.spentSlotMilliseconds,
        unit: 'slot-ms',
      },
      ...retries.map(({ earned, service, spent }) => ({
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
        spent: held[unit],
        unit,
      })),
    ];
  }

  public platform(): PlatformUse {
    const { core, store } = this.options;
    const { reads, unanswered, watches, writes } = store.counters;
    return {
      calls: reads + writes + watches,
      failedCalls: unanswered,
      lastAnswerAt: store.lastResponseAt,
      latencyMilliseconds: store.latencyMilliseconds,
      reachable: store.isResponding,
      watching: core.parts.membership.isBridge,
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

  public key(service: string, key: string): Promise<KeyView | undefined> {
    const questionId = this.nextQuestionId;
    this.nextQuestionId += 1;
    return new Promise((resolve) => {
      this.questions.set(questionId, ({ home, state, status }) => {
        resolve(home === undefined || state === undefined ? undefined : { home, state, status });
      });
      this.options.deliver({ key, kind: 'ask-key', questionId, service });
    });
  }

  /** Takes the answer to a question about a key. */
  public keyKnown(known: KeyKnownCommand): void {
    this.questions.get(known.questionId)?.(known);
    this.questions.delete(known.questionId);
  }
}
