import type { KeyedRequestFrame } from '../messages/frames.js';
import type { HomeCommand, HomeKeeperContract } from './home-contract.js';

/** Has no home for any key: every keyed request gets outcome-unknown without being started. */
export class UnavailableHomes implements HomeKeeperContract {
  public request(from: string, { callId }: KeyedRequestFrame): readonly HomeCommand[] {
    const outcome = { attemptStarted: false, kind: 'outcome-unknown', reason: 'no-home' } as const;
    return [{ callId, kind: 'keyed-reply', outcome, to: from }];
  }

  public question(): readonly HomeCommand[] {
    return [];
  }

  public concluded(): readonly HomeCommand[] {
    return [];
  }

  public frame(): readonly HomeCommand[] {
    return [];
  }

  public storeResult(): readonly HomeCommand[] {
    return [];
  }

  public members(): readonly HomeCommand[] {
    return [];
  }

  public handOver(): readonly HomeCommand[] {
    return [{ kind: 'handed-over' }];
  }

  public tick(): readonly HomeCommand[] {
    return [];
  }

  public table(): undefined {
    return undefined;
  }

  public rangeOf(): number {
    return 0;
  }
}
