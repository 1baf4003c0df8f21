import { CallEngine, serviceDefaults } from '../../src/index.js';
import type { Call, CallCommand, CallOutcome, DispatchCommand } from '../../src/index.js';
import type { ServiceConfiguration } from '../../src/index.js';
import { at, routerWith, target } from '../routing/setup.js';

export const deadline = 1_000;

export function configuration(changes: Partial<ServiceConfiguration> = {}): ServiceConfiguration {
  return { ...serviceDefaults, name: 'lookup', ...changes };
}

export function engineWith(
  servers: number,
  changes: Partial<ServiceConfiguration> = {},
  seed = 3,
): CallEngine {
  const targets = Array.from({ length: servers }, (_, index) => target(`s${index}`));
  const engine = new CallEngine(routerWith(targets, {}, seed));
  engine.configure(configuration(changes));
  return engine;
}

export function call(callNumber: number, changes: Partial<Call> = {}): Call {
  return {
    isBodyReplayable: true,
    callNumber,
    deadline,
    requestClass: 'idempotent',
    service: 'lookup',
    ...changes,
  };
}

export function dispatches(commands: readonly CallCommand[]): readonly DispatchCommand[] {
  return commands.filter((command) => command.kind === 'dispatch');
}

export function outcomes(commands: readonly CallCommand[]): readonly CallOutcome[] {
  return commands.flatMap((command) => (command.kind === 'conclude' ? [command.outcome] : []));
}

/** Drives one call with a script of results, each given to the latest attempt. */
export class ScriptedCall {
  public readonly commands: CallCommand[] = [];
  private now = 0;

  public constructor(
    public readonly engine: CallEngine,
    private readonly changes: Partial<Call> = {},
  ) {
    this.commands.push(...engine.begin(call(1, this.changes), at(0)));
  }

  public get attempt(): number {
    return dispatches(this.commands).at(-1)?.attemptId ?? -1;
  }

  public play(script: readonly string[]): this {
    for (const step of script) this.commands.push(...this.step(step));
    return this;
  }

  private step(step: string): readonly CallCommand[] {
    this.now += 1;
    const { attempt, engine } = this;
    const [kind = '', parameter = ''] = step.split(' ');
    const server = dispatches(this.commands).at(-1)?.target.server ?? '';
    const retryAfterMilliseconds = parameter === '' ? undefined : Number(parameter);
    switch (kind) {
      case 'refused':
        return engine.onRefused(
          attempt,
          { reason: 'no-slot', retryAfterMilliseconds },
          at(this.now),
        );
      case 'answered':
        return engine.onAnswered(attempt, Number(parameter), undefined, at(this.now));
      case 'failed':
        return engine.onFailed(attempt, undefined, at(this.now));
      case 'not-sent':
        return engine.onNotSent(attempt, parameter === 'congested', at(this.now));
      case 'peer-lost':
        return engine.onPeerLost(server, at(this.now));
      case 'admitted':
        return engine.onAdmitted(attempt);
      case 'abandon':
        return engine.onCallerDisconnected(1, at(this.now));
      case 'deadline':
        return engine.tick(at(deadline));
      default:
        throw new Error(`unknown step ${step}`);
    }
  }
}
